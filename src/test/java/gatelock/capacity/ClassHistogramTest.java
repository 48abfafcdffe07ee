package gatelock.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.ref.Reference;
import org.junit.jupiter.api.Test;

class ClassHistogramTest {
    private static final String TEXT = """
         num     #instances         #bytes  class name (module)
        -------------------------------------------------------
           1:         31123        2216344  [B (java.base@17.0.13)
           2:           100           2400  gatelock.api.Listed
        Total         31223        2218744
        """;

    @Test
    void linesAreReadByClass() {
        ClassHistogram read = ClassHistogram.read(TEXT);
        assertThat(read.bytes()).containsEntry("[B", 2_216_344L).containsEntry("gatelock.api.Listed", 2_400L);
        assertThat(read.total()).isEqualTo(2_218_744);
    }

    @Test
    void whatIsHeldMoreSinceThenIsFound() {
        ClassHistogram before = ClassHistogram.here();
        long[] held = new long[1_000_000];
        assertThat(ClassHistogram.here().since(before).bytes().get("[J")).isBetween(8_000_000L, 8_100_000L);
        Reference.reachabilityFence(held);
    }
}
