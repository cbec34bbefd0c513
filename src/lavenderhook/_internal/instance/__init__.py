"""An entry instance that serves queues: intake, ownership, peers and the owner's loops."""
