package gatelock.decision;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.AttemptResult;
import org.junit.jupiter.api.Test;

/** The budgets of retries, of a canary's exposure and of work at endpoints in slow start. */
final class BudgetsTest {

    @Test
    void retriesAreATenthOfTheRequestsAfterABurstOfFive() {
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
    void aRetryAfterAFailedConnectCostsATenth() {
        assertThat(RetryBudget.priceAfter(AttemptResult.NOT_CONNECTED)).isEqualTo(0.1);
        assertThat(RetryBudget.priceAfter(AttemptResult.NOT_SENT)).isEqualTo(0.1);
        assertThat(RetryBudget.priceAfter(AttemptResult.ERRORED)).isEqualTo(1);
    }

    @Test
    void exposureNeverSavesUpMoreThanItsBurst() {
        ExposureBudget budget = new ExposureBudget(1, 2);
        for (int i = 0; i < 100; i++) {
            budget.earn(0, 0.5);
        }
        budget.spend(0);
        assertThat(budget.allows(0)).isTrue();
        budget.spend(0);
        assertThat(budget.allows(0)).isFalse();
        budget.earn(0, 0.5);
        assertThat(budget.allows(0)).isFalse();
        budget.earn(0, 0.5);
        assertThat(budget.allows(0)).isTrue();
    }

    @Test
    void exposureIsCountedByRouteWhereThereIsASlotForEach() {
        ExposureBudget byRoute = new ExposureBudget(2, 1);
        byRoute.spend(0);
        assertThat(byRoute.allows(0)).isFalse();
        assertThat(byRoute.allows(1)).isTrue();
        ExposureBudget common = new ExposureBudget(1, 1);
        common.spend(1);
        assertThat(common.allows(0)).isFalse();
    }

    @Test
    void workFillsAtItsRateAndSavesUpAQuarterOfASecond() {
        WorkBudget budget = new WorkBudget(-1_000, 0);
        assertThat(budget.refill(0.5, 2_000)).isFalse();
        assertThat(budget.refill(0.5, 2_001)).isTrue();
        assertThat(budget.refill(0.5, 60_000_000)).isTrue();
        budget.spend(125_000);
        assertThat(budget.refill(0.5, 60_000_000)).isFalse();
    }
}
