"""Load patterns: policies played against a small model of workers, with a clock of its own."""

import bench.patterns.interference  # noqa: F401 - fills the registry of patterns
import bench.patterns.patterns  # noqa: F401 - fills the registry of patterns
from bench.patterns.model import Model, ModelWorker
from bench.patterns.outcome import PatternOutcome
from bench.patterns.pattern import PATTERNS, play_pattern, register_pattern

__all__ = [
    "PATTERNS",
    "Model",
    "ModelWorker",
    "PatternOutcome",
    "play_pattern",
    "register_pattern",
]
