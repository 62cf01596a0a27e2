"""Result of a soak run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from ._ledger import Violation
from ._settings import SoakSettings


@dataclass(slots=True)
class Verdict:
    """Hold the result of a run."""

    settings: SoakSettings
    violations: list[Violation]
    counts: Counter[str]

    def text(self) -> str:
        """Return the verdict as readable text."""
        counts = ", ".join(f"{name} {n}" for name, n in sorted(self.counts.items()))
        violations_by_invariant = Counter(item.invariant for item in self.violations)
        found = ", ".join(
            f"{name} {n}" for name, n in sorted(violations_by_invariant.items())
        )
        lines = [f"seed {self.settings.seed}: {f'BROKEN {found}' if found else 'kept'}"]
        lines.append(f"  {counts}")
        lines += [f"  {item.invariant}: {item.detail}" for item in self.violations[:20]]
        return "\n".join(lines)
