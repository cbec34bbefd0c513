"""Pure decision core: events in, effects out."""
