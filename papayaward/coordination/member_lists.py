"""
papayaward.coordination.member_lists
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads the lists of members that entries send, for the processes that dial them.
"""

from ..protocol.options import OptionError, get_peer_address, get_string

__all__ = ["read_members"]


def read_members(members, rejections):
    """Returns the members that can be dialled.

    Args:
        members: `Member` messages, or None.
        rejections: `RejectionLog` for the others. An error would close the link, and
            the peer would send the same list on the next one.

    Returns:
        list: (`Member`, (host, port)) of each member.
    """
    found = []
    for member in members or ():
        try:
            name = get_string({"member": member.member}, "member")
            address = get_peer_address({"address": member.address}, "address")
            found.append((member, address))
            rejections.accept(name)
        except OptionError as error:
            rejections.reject(member.member, error)
    return found
