"""
papayaward.coordination.linear_fit
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Least squares with several variables, in which older samples count less.
"""

import math
from dataclasses import dataclass

__all__ = ["LinearFit", "Slope"]

# Added to the diagonal, so that variables that hardly vary get no slope.
_RIDGE = 1e-3


@dataclass(frozen=True)
class Slope:
    """Slope of one variable.

    Attributes:
        value: Change of the result for each unit of the variable.
        error: Standard error of the value.
    """

    value: float
    error: float


class LinearFit:
    """Fit of a result to variables that are named as they first appear.

    Args:
        memory: Number of samples after which one counts about a third.
        max_variables: Number of variables; further ones are left out.
    """

    def __init__(self, memory, max_variables):
        self._decay = 1.0 - 1.0 / memory
        self._max_variables = max_variables
        self._names = []
        # Sums of products of the variables, the first of which is always 1, and of each
        # with the result.
        self._products = [[0.0]]
        self._results = [0.0]
        self._squares = 0.0

    @property
    def samples(self):
        """Weight of all samples."""
        return self._products[0][0]

    def add(self, variables, result):
        """Adds a sample.

        Args:
            variables: Values by name; a missing one is 0.
            result: Value to be explained.
        """
        for name in variables:
            self._add_variable(name)
        values = [1.0, *(variables.get(name, 0.0) for name in self._names)]
        for i, value in enumerate(values):
            row = self._products[i]
            for j, other in enumerate(values):
                row[j] = row[j] * self._decay + value * other
            self._results[i] = self._results[i] * self._decay + value * result
        self._squares = self._squares * self._decay + result * result

    def _add_variable(self, name):
        if name in self._names or len(self._names) >= self._max_variables:
            return
        self._names.append(name)
        for row in self._products:
            row.append(0.0)
        self._products.append([0.0] * (len(self._names) + 1))
        self._results.append(0.0)

    def slopes(self):
        """Returns the `Slope` of each variable by its name."""
        size = len(self._results)
        degrees = self.samples - size
        if degrees <= 0:
            return {}
        inverse = _inverse(
            [
                [value + (_RIDGE if i == j else 0.0) for j, value in enumerate(row)]
                for i, row in enumerate(self._products)
            ]
        )
        fitted = [
            sum(inverse[i][j] * self._results[j] for j in range(size))
            for i in range(size)
        ]
        explained = sum(f * r for f, r in zip(fitted, self._results, strict=True))
        variance = max(0.0, self._squares - explained) / degrees
        return {
            name: Slope(fitted[i], math.sqrt(variance * max(0.0, inverse[i][i])))
            for i, name in enumerate(self._names, 1)
        }


def _inverse(matrix):
    """Returns the inverse of a positive definite matrix, a list of rows."""
    size = len(matrix)
    rows = [
        [*row, *(1.0 if i == j else 0.0 for j in range(size))]
        for i, row in enumerate(matrix)
    ]
    for column in range(size):
        pivot = max(range(column, size), key=lambda i: abs(rows[i][column]))
        rows[column], rows[pivot] = rows[pivot], rows[column]
        scale = rows[column][column]
        rows[column] = [value / scale for value in rows[column]]
        for i in range(size):
            if i != column:
                factor = rows[i][column]
                rows[i] = [
                    value - factor * base
                    for value, base in zip(rows[i], rows[column], strict=True)
                ]
    return [row[size:] for row in rows]
