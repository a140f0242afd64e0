"""The users' settings, as the simulator's first message and the platform's configuration give them, for the policy.

Both the bench's adapter and the dispatcher on the platform read them here. Standard library only.

What is absent means, and no figure of any deployment stands in for it:

- what may be done (`holds-allowed`, `read-in-place`, `resume`, `second-copies`, `cancel`, `probes`, `peers`,
  `retry-after`, `max-retry-after-us`): it may not;
- what is granted (`drain-grace-us`, `answer-slack-us`, `ask-within-us`): nothing;
- what bounds (`let-go-by-us`, `most-tries`): no bound; the request's own time remains;
- what a class may do on a repeat (`idempotency`): harm, so it is not repeated once it may have run;
- what is priced or weighed (`prices`, `transfer-price`, `late-worth`, `fraction`, `quota-per-s`): nothing; `worth` and
  `over-share-worth`: 1, all alike;
- what starts cold (`cold-us`, `start-capacity`, `fall-us`, `fall-multiple`): nothing does;
- what a kind does (`duty-by-kind`): both; what it holds (`memory-tokens`): not known, 0;
- `membership-mode`: lists are pushed; `zone`: none; `group`: all together; `tick-us`: the clock's own, 1.
"""

from __future__ import annotations

from typing import Any

from yardspindle import interface as i

EFFECT = {"free": i.Effect.SAFE, "guarded": i.Effect.KEYED, "single_shot": i.Effect.UNSAFE}
NO_BOUND_US = 10_000_000_000_000  # over a hundred days: the longest time that settings may give
NO_BOUND = 1 << 20
ROLE = {"read": i.Role.READ, "write": i.Role.WRITE, "both": i.Role.BOTH}


def parse_settings(raw: dict[str, Any]) -> i.Settings:
    """Map the wire's settings to the interface's; keys that are not known are passed over."""
    info, allowed, rules, prices = (raw.get(key) or {} for key in ("family-info", "allowed", "obligations", "prices"))

    def nth(key: str, at: int) -> float:
        values = info.get(key) or []
        return float(values[at]) if at < len(values) else 0.0

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
            aim_us_per_1000_prompt_tokens=nth("aim-us-per-1000-prompt-tokens", at),
            token_aim_us=nth("token-aim-us", at),
        )
        for at, row in enumerate(raw["services"])
    )
    kinds = tuple(
        i.Kind(name, ROLE[roles[at]] if at < len(roles) else i.Role.BOTH, nth("memory-tokens", at))
        for at, name in enumerate(raw["shapes"])
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
        release_us=info.get("let-go-by-us", NO_BOUND_US),
        drain_grace_us=rules.get("drain-grace-us", 0),
        cold_us=rules.get("cold-us", 0),
        start_capacity=rules.get("start-capacity", 1.0),
        fall_multiple=rules.get("fall-multiple", 1.0),
        fall_us=rules.get("fall-us", 0),
        answer_slack_us=rules.get("answer-slack-us", 0),
        ask_within_us=rules.get("ask-within-us", 0),
        max_attempts=allowed.get("most-tries", NO_BOUND),
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
