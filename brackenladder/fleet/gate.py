"""Pass/fail verdict of the gate on one day, by the rules and by comparison with baseline policies. Pure.

The criteria are those of the standing fleet test: no rule broken and no node failed. The worth served must be
at least half of what the baseline with a stale view of the true state serves, in total and for each class of
sufficient weight. On a calm day it must also reach the plain baseline's share minus 0.05, or the stale-view
baseline's minus 0.1 if that is lower.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

LATE_SHARE = 0.5  # minimum share of what the LATE baseline serves
PLAIN_MARGIN, LATE_MARGIN = 0.05, 0.1
MIN_CLASS_WEIGHT = 0.05  # a class with a smaller share of the requested worth is not checked by itself
MIN_CLASS_SERVED = 0.3  # a class of which LATE serves less than this is not checked
LATE, PLAIN = "late", "least-of-two"  # baseline policies that run beside the module


class PolicyRun(msgspec.Struct, frozen=True):
    """Results of one policy's run.

    `worths`: share of worth served and weight, for 'all' and by class; `verdicts`: by rule.
    """

    worths: dict[str, tuple[float, float]]
    verdicts: dict[str, str]
    nearest: float  # highest load of a cold server relative to its limit; above 1 breaks the rule
    faults: int


class DayVerdict(msgspec.Struct, frozen=True):
    """Verdict on a day. `wrong`: one line for each criterion that is not met."""

    served: float
    wanted: float
    wrong: tuple[str, ...]


def judge_day(day: str, module: PolicyRun, others: Mapping[str, PolicyRun]) -> DayVerdict:
    """Judges the module's run by comparison with the baselines' runs of the same day.

    `others`: run of LATE, and on a calm day that of PLAIN.
    """
    wrong = [f"{rule} broke" for rule, verdict in module.verdicts.items() if verdict == "broke"]
    if module.faults:
        wrong.append(f"{module.faults} nodes failed")
    late = others[LATE].worths["all"][0]
    served, wanted = module.worths["all"][0], LATE_SHARE * late
    if day == "calm":
        plain = others[PLAIN].worths["all"][0]
        wanted = max(wanted, min(plain - PLAIN_MARGIN, late - LATE_MARGIN))
    if served < wanted:
        wrong.append(f"served {served:.3f}, {wanted:.3f} wanted")
    for name, (share, weight) in module.worths.items():
        reached = others[LATE].worths[name][0]
        if (
            name != "all"
            and weight >= MIN_CLASS_WEIGHT
            and reached >= MIN_CLASS_SERVED
            and share < LATE_SHARE * reached
        ):
            wrong.append(f"class {name} served {share:.3f}, {LATE_SHARE * reached:.3f} wanted")
    return DayVerdict(served, wanted, tuple(wrong))
