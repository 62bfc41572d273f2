"""Processes that are proved dead, and the proof for each.

An unresponsive process is not necessarily dead: it may be paused and continue later. The kinds of
proof are named in a registry:

* ``replaced``: another incarnation answers at its address, or nothing listens there although its
  VM answers. A process closes its listener only when it exits, so the operating system's refusal
  of a connection proves that it has exited;
* ``vm_gone``: the platform's VM list contained its VM and no longer does, and there is no link to
  the process. A list may be outdated, so this proof does not hold while the process has a link.
"""

from collections.abc import Callable

from eliot import log_message

from camphorchute.contracts.member import Member

__all__ = ["DEATH_PROOFS", "DeathRegistry", "register_death_proof"]

DEATH_PROOFS: dict[str, str] = {}


def register_death_proof(name: str, meaning: str) -> str:
    """Add a kind of proof to the registry and return its name.

    Args:
        name: name of the proof, part of a counter's name.
        meaning: what the proof consists of.
    """
    DEATH_PROOFS[name] = meaning
    return name


REPLACED = register_death_proof("replaced", "another incarnation answers or nothing listens")
VM_GONE = register_death_proof("vm_gone", "the platform's list has the VM no more")


class DeathRegistry:
    """Set of the processes that are proved dead.

    Args:
        vm_is_gone: returns whether a host was in the platform's VM list and no longer is.
        count: adds to a named counter.
        is_linked: returns whether there is an open link to a member, by its id.

    Examples:
        >>> deaths = DeathRegistry(vm_is_gone=lambda host: host == "vm9")
        >>> deaths.is_dead(Member("m", "north", "vm9", "", "127.0.0.1:1", "127.0.0.1:2"))
        True
    """

    __slots__ = ("_vm_is_gone", "_count", "_is_linked", "_proof_by_member_id")

    def __init__(
        self,
        vm_is_gone: Callable[[str], bool] = lambda host: False,
        count: Callable[[str], None] = lambda name: None,
        is_linked: Callable[[str], bool] = lambda member_id: False,
    ) -> None:
        self._vm_is_gone = vm_is_gone
        self._count = count
        self._is_linked = is_linked
        self._proof_by_member_id: dict[str, str] = {}

    def record_death(self, member: Member, proof: str = REPLACED) -> None:
        """Record that a process is dead; the first proof given for it is kept.

        Args:
            member: the process.
            proof: name of a registered kind of proof.

        Raises:
            ValueError: if the kind of proof is not registered.
        """
        if proof not in DEATH_PROOFS:
            raise ValueError(
                f"unknown death proof {proof!r}, expected one of {sorted(DEATH_PROOFS)}"
            )
        if member.member_id not in self._proof_by_member_id:
            self._proof_by_member_id[member.member_id] = proof
            self._count(f"zones.proved_dead.{proof}")
            log_message(
                message_type="zones",
                text=f"zones: {member.member_id} is proved dead, proof {proof}",
            )

    def is_dead(self, member: Member) -> bool:
        """Return whether a process is proved dead; a VM that is gone is recorded as a proof."""
        proof = self._proof_by_member_id.get(member.member_id)
        if proof not in (None, VM_GONE):
            return True
        if self._is_linked(member.member_id):
            return False
        if proof is not None:
            return True
        if self._vm_is_gone(member.host):
            self.record_death(member, VM_GONE)
            return True
        return False
