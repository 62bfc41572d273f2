"""Which processes are proved dead, and by what.

A silent process is not dead: it may be paused and go on later. Proofs are named in a registry:

* ``replaced``: another incarnation answers at its address;
* ``refused``: nothing listens at its address, although its VM answers. A process closes its
  listener only by ending, so the operating system vouches for its end;
* ``vm_gone``: the platform's list had the VM and has it no more.
"""

from collections.abc import Callable

from eliot import log_message

from camphorchute.contracts.member import Member

__all__ = ["DEATH_PROOFS", "Deaths", "register_death_proof"]

DEATH_PROOFS: dict[str, str] = {}


def register_death_proof(name: str, meaning: str) -> str:
    """Add a kind of proof to the registry and return its name."""
    DEATH_PROOFS[name] = meaning
    return name


REPLACED = register_death_proof("replaced", "another incarnation answers or nothing listens")
VM_GONE = register_death_proof("vm_gone", "the platform's list has the VM no more")


class Deaths:
    """The processes that are proved dead.

    Args:
        vm_is_gone: whether the platform's VM list shows a host gone after having listed it.
        count: adds to a named counter.

    Examples:
        >>> deaths = Deaths(vm_is_gone=lambda host: host == "vm9")
        >>> deaths.is_dead(Member("m", "north", "vm9", "", "127.0.0.1:1", "127.0.0.1:2"))
        True
    """

    __slots__ = ("_vm_is_gone", "_count", "_dead")

    def __init__(
        self,
        vm_is_gone: Callable[[str], bool] = lambda host: False,
        count: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._vm_is_gone = vm_is_gone
        self._count = count
        self._dead: dict[str, str] = {}

    def prove(self, member: Member, proof: str = REPLACED) -> None:
        """Note that a process is dead."""
        if proof not in DEATH_PROOFS:
            raise ValueError(f"{proof!r} is no kind of proof")
        if member.member_id not in self._dead:
            self._dead[member.member_id] = proof
            self._count(f"zones.proved_dead.{proof}")
            log_message(
                message_type="zones",
                text=f"zones: {member.member_id} is dead, proof {proof}",
            )

    def is_dead(self, member: Member) -> bool:
        """Whether a process is proved dead."""
        if member.member_id in self._dead:
            return True
        if self._vm_is_gone(member.host):
            self.prove(member, VM_GONE)
            return True
        return False
