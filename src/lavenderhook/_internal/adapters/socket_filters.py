"""Packet filters of sockets."""

from __future__ import annotations

import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26  # of Linux; the module `socket` doesn't name it
BPF_RETURN = 0x06


def drop_new_connections(listener: socket.socket) -> None:
    """Let the kernel drop the packets of connections that are not established yet.

    Those that are established keep their own filters. A caller whose first packet is dropped sends
    it again after a second, and is refused if the listener is closed by then.

    Parameters
    ----------
    listener : socket.socket
        A listening socket.

    Raises
    ------
    OSError
        If the system has no such filters.
    """
    keep_no_byte = struct.pack("HBBI", BPF_RETURN, 0, 0, 0)
    instructions = ctypes.create_string_buffer(keep_no_byte)
    program = struct.pack("HL", 1, ctypes.addressof(instructions))
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
