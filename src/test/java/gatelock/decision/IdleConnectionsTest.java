package gatelock.decision;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Which connections to a unit stand. */
final class IdleConnectionsTest {

    @Test
    void oneThatWasLeftStandsUntilItIsUsedOrItsTimeIsOver() {
        IdleConnections idle = new IdleConnections(100);
        assertThat(idle.stand(0)).isFalse();
        idle.left(0);
        idle.left(50);
        assertThat(idle.stand(149)).isTrue();
        assertThat(idle.stand(150)).isFalse();
        idle.used(60);
        assertThat(idle.stand(60)).isTrue();
        idle.used(60);
        assertThat(idle.stand(60)).isFalse();
    }

    @Test
    void oneLeftAfterAllOthersHadGoneIsTheOnlyOne() {
        IdleConnections idle = new IdleConnections(100);
        idle.left(0);
        idle.left(0);
        idle.left(500);
        idle.used(500);
        assertThat(idle.stand(500)).isFalse();
    }
}
