"""Registries of policies: functions that make one kind of decision, chosen by a setting."""

from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["PolicyRegistry"]

Policy = TypeVar("Policy", bound=Callable)


class PolicyRegistry(Generic[Policy]):
    """The policies for one kind of decision, by name.

    Args:
        decision: name of the kind of decision, for error messages.

    Attributes:
        decision: name of the kind of decision.

    Examples:
        >>> registry = PolicyRegistry("greeting")
        >>> @registry.register("short")
        ... def greet_briefly():
        ...     return "hi"
        >>> registry.find("short")()
        'hi'
        >>> registry.find("long")
        Traceback (most recent call last):
            ...
        ValueError: 'long' is not known as greeting policy; known are short
    """

    __slots__ = ("decision", "_policies")

    def __init__(self, decision: str) -> None:
        self.decision = decision
        self._policies: dict[str, Policy] = {}

    def register(self, name: str) -> Callable[[Policy], Policy]:
        """Return a decorator that adds a policy under a name.

        Args:
            name: name of the policy in the settings.
        """

        def add(policy: Policy) -> Policy:
            self._policies[name] = policy
            return policy

        return add

    def names(self) -> list[str]:
        """Return the names of the policies, sorted."""
        return sorted(self._policies)

    def find(self, name: str) -> Policy:
        """Return the policy with a name.

        Args:
            name: name of the policy.

        Raises:
            ValueError: there is no such policy.
        """
        if name not in self._policies:
            known = ", ".join(self.names())
            raise ValueError(f"{name!r} is not known as {self.decision} policy; known are {known}")
        return self._policies[name]
