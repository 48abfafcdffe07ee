package gatelock.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.ref.Reference;
import org.junit.jupiter.api.Test;

/** Guards against heap measurements that misread the JVM's histogram or miss objects that this process allocates. */
class ClassHistogramTest {
    private static final String TEXT = """
         num     #instances         #bytes  class name (module)
        -------------------------------------------------------
           1:         31123        2216344  [B (java.base@17.0.13)
           2:           100           2400  gatelock.api.Listed
        Total         31223        2218744
        """;

    @Test
    void parsesBytesByClass() {
        ClassHistogram histogram = ClassHistogram.parse(TEXT);
        assertThat(histogram.bytes()).containsEntry("[B", 2_216_344L).containsEntry("gatelock.api.Listed", 2_400L);
        assertThat(histogram.totalBytes()).isEqualTo(2_218_744);
    }

    @Test
    void reportsBytesAllocatedSinceEarlierHistogram() {
        ClassHistogram before = ClassHistogram.ofThisProcess();
        long[] held = new long[1_000_000];
        try {
            assertThat(ClassHistogram.ofThisProcess().since(before).bytes().get("[J"))
                    .isBetween(8_000_000L, 8_100_000L);
        } finally {
            Reference.reachabilityFence(held);
        }
    }
}
