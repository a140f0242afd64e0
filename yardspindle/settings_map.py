"""Maps settings in the operators' format to the routing policy's settings (`interface.Settings`).

Both the simulator adapter (yardspindle/drill.py) and the dispatcher on the operators' platform (yardspindle/node) use
this mapping: the simulator's `spawn` message and the platform's configuration have the same format. Standard library
only.

Defaults for absent keys are neutral; none is taken from a particular deployment:

- permissions (`holds-allowed`: memory may be reserved at a decode server ahead of the decode; `read-in-place`: decode
  servers may run the prefill, too; `resume`: clients can continue a broken stream;
  `second-copies`, `cancel`, `probes`, `peers`, `retry-after`, `max-retry-after-us`): not permitted;
- allowances (`drain-grace-us`, `answer-slack-us`, `ask-within-us`): none;
- bounds (`let-go-by-us`, the time within which memory held for a request must be released; `most-tries`): unbounded;
  the request's own time limit remains;
- `idempotency` of a class: unsafe, so a request is not repeated once it may have run;
- prices and weights (`prices`, `transfer-price`, `late-worth`, `fraction`, `quota-per-s`): 0; `worth` and
  `over-share-worth`: 1, the same for all;
- cold start (`cold-us`, `start-capacity`, `fall-us`, `fall-multiple`): servers start warm;
- `duty-by-kind`, the role of a machine kind: both stages; its `memory-tokens`: 0, unknown;
- `membership-mode`: server lists are pushed; `zone`: none; `group`: one for all classes; `tick-us`: 1, the clock's
  resolution.
"""

from __future__ import annotations

from typing import Any

from yardspindle import interface as i

EFFECT = {"free": i.Effect.SAFE, "guarded": i.Effect.KEYED, "single_shot": i.Effect.UNSAFE}
UNBOUNDED_US = 10_000_000_000_000  # stands for no limit: over a hundred days, the most that the platform may set
UNBOUNDED_ATTEMPTS = 1 << 20
ROLE = {"read": i.Role.READ, "write": i.Role.WRITE, "both": i.Role.BOTH}


def parse_settings(raw: dict[str, Any]) -> i.Settings:
    """Return the policy's settings for decoded JSON; unknown keys are ignored.

    In the operators' format `services` are the classes of requests, `shapes` the kinds of server machines, `realms` the
    tenants (customers), `obligations` the rules on drains, cold starts and answers. `family-info` describes the model
    servers; a list in it has one value for each class or each kind, in the order of `services` or `shapes`.
    """
    info, allowed, rules, prices = (raw.get(key) or {} for key in ("family-info", "allowed", "obligations", "prices"))

    def nth_value(key: str, index: int) -> float:
        values = info.get(key) or []
        return float(values[index]) if index < len(values) else 0.0

    roles = info.get("duty-by-kind") or []
    classes = tuple(
        i.RequestClass(
            name=row["name"],
            aim_us=row["goal-time-us"],
            give_up_us=row["give-up-us"],
            effect=EFFECT[row.get("idempotency", "single_shot")],
            group=row.get("group", "all"),
            window_us=row.get("window-us", 0),
            worth=row.get("worth", 1.0),
            late_worth=row.get("late-worth", 0.0),
            aim_us_per_1000_prompt_tokens=nth_value("aim-us-per-1000-prompt-tokens", index),
            token_aim_us=nth_value("token-aim-us", index),
        )
        for index, row in enumerate(raw["services"])
    )
    kinds = tuple(
        i.Kind(name, ROLE[roles[index]] if index < len(roles) else i.Role.BOTH, nth_value("memory-tokens", index))
        for index, name in enumerate(raw["shapes"])
    )
    tenants = tuple(
        i.Tenant(row["name"], row.get("fraction", 0.0), row.get("quota-per-s", 0.0)) for row in raw.get("realms") or []
    )
    return i.Settings(
        me=raw["me"],
        instances=raw["instances"],
        zone=raw.get("zone", ""),
        classes=classes,
        kinds=kinds,
        tenants=tenants,
        ahead=info.get("holds-allowed", False),
        writers_read=info.get("read-in-place", False),
        resume=info.get("resume", False),
        release_us=info.get("let-go-by-us", UNBOUNDED_US),
        drain_grace_us=rules.get("drain-grace-us", 0),
        cold_us=rules.get("cold-us", 0),
        start_capacity=rules.get("start-capacity", 1.0),
        fall_multiple=rules.get("fall-multiple", 1.0),
        fall_us=rules.get("fall-us", 0),
        answer_slack_us=rules.get("answer-slack-us", 0),
        ask_within_us=rules.get("ask-within-us", 0),
        max_attempts=allowed.get("most-tries", UNBOUNDED_ATTEMPTS),
        second_copies=allowed.get("second-copies", False),
        cancel=allowed.get("cancel", False),
        probes=allowed.get("probes", False),
        peers=allowed.get("peers", False),
        retry_after=allowed.get("retry-after", False),
        max_retry_after_us=allowed.get("max-retry-after-us", 0),
        list_pushed=raw.get("membership-mode", "push") == "push",
        over_share_worth=raw.get("over-share-worth", 1.0),
        late_fail_price=prices.get("late-fail", 0.0),
        waste_price=prices.get("waste", 0.0),
        cross_zone_price=prices.get("cross-zone", 0.0),
        far_price=info.get("transfer-price", 0.0),
        tick_us=raw.get("tick-us", 1),
    )
