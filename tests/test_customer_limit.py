"""What is kept of customers has a limit: ever new names cost the idle ones first, and never a ceiling."""

from __future__ import annotations

import pytest
from conftest import CAPPED, Driver, actions_of

from yewstage import interface as api

MAX_CUSTOMERS = 50


def ask_and_serve(driver: Driver, customer: str, plan: str) -> list[api.Action]:
    request, actions = driver.ask(plan=plan, customer=customer)
    if actions_of(actions, api.Send):
        driver.end(request)
    return actions


# Guards against: requests under ever new names filled the memory with what each had used of its quota.
@pytest.mark.parametrize("plan", ["open", "basic"])
def test_ever_new_names_replace_the_customers_that_were_idle_longest(plan: str) -> None:
    driver = Driver(counter_enabled=False, max_customers=MAX_CUSTOMERS)
    for number in range(10 * MAX_CUSTOMERS):
        assert not actions_of(ask_and_serve(driver, f"new-{number}", plan), api.Refuse)
        assert not actions_of(ask_and_serve(driver, "regular", "open"), api.Refuse)
        assert len(driver.gateway.customer_quotas) <= MAX_CUSTOMERS
    assert "regular" in driver.gateway.customer_quotas
    kept = [name for name in driver.gateway.customer_quotas if name != "regular"]
    assert kept == [f"new-{number}" for number in range(10 * MAX_CUSTOMERS - len(kept), 10 * MAX_CUSTOMERS)]


def test_a_ceiling_is_not_dropped_before_it_is_full_again() -> None:
    driver = Driver(counter_enabled=False, max_customers=MAX_CUSTOMERS)
    for number in range(MAX_CUSTOMERS):
        ask_and_serve(driver, f"capped-{number}", "capped")
    (refusal,) = actions_of(ask_and_serve(driver, "one more", "capped"), api.Refuse)
    assert refusal.reason == "customers" and len(driver.gateway.customer_quotas) == MAX_CUSTOMERS
    assert list(driver.gateway.customer_quotas)[0] == "capped-0"  # a known one has its place
    driver.now += 1000 * CAPPED.ceiling_burst / CAPPED.ceiling_rate
    assert not actions_of(ask_and_serve(driver, "one more", "capped"), api.Refuse)
    assert len(driver.gateway.customer_quotas) == MAX_CUSTOMERS


def test_a_customer_with_an_open_request_is_not_dropped() -> None:
    driver = Driver(counter_enabled=False, max_customers=1)
    request, _ = driver.ask(plan="open", customer="waits")
    (refusal,) = actions_of(ask_and_serve(driver, "other", "open"), api.Refuse)
    assert refusal.reason == "customers"
    driver.end(request)
    assert not actions_of(ask_and_serve(driver, "other", "open"), api.Refuse)
    assert list(driver.gateway.customer_quotas) == ["other"]
