"""Weights of a split as the whole numbers that the product uses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from merlintrestle import rows

if TYPE_CHECKING:
    from collections.abc import Sequence

# The largest weight of a split whose weights are not all small whole numbers.
_LARGEST_WEIGHT = 1_000_000_000


def scale_weights(weights: Sequence[float]) -> list[int]:
    """Returns whole numbers in the same proportions.

    Whole numbers that fit stay as they are. A weight above 0 stays above 0.

    Args:
        weights: Finite weights, 0 or more.
    """
    if all(
        weight <= rows.MAX_INTEGER and float(weight).is_integer()
        for weight in weights
    ):
        return [int(weight) for weight in weights]
    largest = max(weights)
    return [
        max(1, round(weight / largest * _LARGEST_WEIGHT)) if weight else 0
        for weight in weights
    ]
