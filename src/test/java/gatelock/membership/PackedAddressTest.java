package gatelock.membership;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests which addresses are packed into six bytes and which must be stored as text. */
final class PackedAddressTest {
    @Test
    void readsBackPackedAddressUnchanged() {
        for (String address : new String[] {"0.0.0.0:0", "10.1.2.3:8443", "200.100.50.25:9", "255.255.255.255:65535"}) {
            byte[] bytes = new byte[PackedAddress.BYTES + 2];
            long packed = PackedAddress.parse(address);
            assertThat(packed).as(address).isNotEqualTo(PackedAddress.NONE);
            PackedAddress.write(packed, bytes, 1);
            assertThat(PackedAddress.read(bytes, 1)).isEqualTo(address);
        }
    }

    @Test
    void refusesToPackAddressThatWouldReadBackDifferently() {
        for (String address : new String[] {
            "",
            ":",
            "host:80",
            "[::1]:80",
            "1.2.3:4",
            "1.2.3.4",
            "1.2.3.4:",
            "1.2.3.4.5:6",
            "1.2.3.4:5:6",
            "01.2.3.4:5",
            "1.2.3.4:05",
            "1.2.3.256:5",
            "1.2.3.4:65536",
            "1.2.3.4:100000",
            "1..3.4:5",
            " 1.2.3.4:5",
            "+1.2.3.4:5"
        }) {
            assertThat(PackedAddress.parse(address)).as(address).isEqualTo(PackedAddress.NONE);
        }
    }
}
