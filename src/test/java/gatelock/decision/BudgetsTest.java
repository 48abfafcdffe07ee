package gatelock.decision;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.AttemptResult;
import org.junit.jupiter.api.Test;

/** Tests the budgets of retries, of a canary's exposure and of work at endpoints in slow start. */
final class BudgetsTest {

    @Test
    void grantsOneRetryPerTenRequestsAfterBurstOfFive() {
        RetryBudget budget = new RetryBudget();
        budget.spend(5);
        for (int i = 0; i < 9; i++) {
            budget.requestArrived();
        }
        assertThat(budget.covers(1)).isFalse();
        budget.requestArrived();
        budget.requestArrived();
        assertThat(budget.covers(1)).isTrue();
    }

    @Test
    void chargesTenthOfRetryAfterFailedConnect() {
        assertThat(RetryBudget.costAfter(AttemptResult.NOT_CONNECTED)).isEqualTo(0.1);
        assertThat(RetryBudget.costAfter(AttemptResult.NOT_SENT)).isEqualTo(0.1);
        assertThat(RetryBudget.costAfter(AttemptResult.ERRORED)).isEqualTo(1);
    }

    @Test
    void limitsUnusedExposureToBurst() {
        ExposureBudget budget = new ExposureBudget(1, 2);
        for (int i = 0; i < 100; i++) {
            budget.credit(0, 0.5);
        }
        budget.spend(0);
        assertThat(budget.allows(0)).isTrue();
        budget.spend(0);
        assertThat(budget.allows(0)).isFalse();
        budget.credit(0, 0.5);
        assertThat(budget.allows(0)).isFalse();
        budget.credit(0, 0.5);
        assertThat(budget.allows(0)).isTrue();
    }

    @Test
    void countsExposurePerRouteOnlyWithOneSlotPerRoute() {
        ExposureBudget byRoute = new ExposureBudget(2, 1);
        byRoute.spend(0);
        assertThat(byRoute.allows(0)).isFalse();
        assertThat(byRoute.allows(1)).isTrue();
        ExposureBudget shared = new ExposureBudget(1, 1);
        shared.spend(1);
        assertThat(shared.allows(0)).isFalse();
    }

    @Test
    void refillsWorkAtRateAndSavesAtMostQuarterSecond() {
        WorkBudget budget = new WorkBudget(-1_000, 0);
        assertThat(budget.refill(0.5, 2_000)).isFalse();
        assertThat(budget.refill(0.5, 2_001)).isTrue();
        assertThat(budget.refill(0.5, 60_000_000)).isTrue();
        budget.spend(125_000);
        assertThat(budget.refill(0.5, 60_000_000)).isFalse();
    }
}
