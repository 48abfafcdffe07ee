package gatelock.capacity;

import java.lang.management.ManagementFactory;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.management.JMException;
import javax.management.ObjectName;

/** Bytes that live objects hold, by class, as the JVM's class histogram gives them after a full collection. */
record ClassHistogram(Map<String, Long> bytes) {
    private static final Pattern LINE = Pattern.compile("(?m)^ *\\d+: +\\d+ +(\\d+) +(\\S+)");

    static ClassHistogram read(String text) {
        Map<String, Long> bytes = new LinkedHashMap<>();
        Matcher line = LINE.matcher(text);
        while (line.find()) {
            bytes.merge(line.group(2), Long.parseLong(line.group(1)), Long::sum);
        }
        return new ClassHistogram(bytes);
    }

    /** Of this process. */
    static ClassHistogram here() {
        try {
            return read((String) ManagementFactory.getPlatformMBeanServer()
                    .invoke(
                            new ObjectName("com.sun.management:type=DiagnosticCommand"),
                            "gcClassHistogram",
                            new Object[] {new String[0]},
                            new String[] {String[].class.getName()}));
        } catch (JMException e) {
            throw new IllegalStateException("this JVM tells no class histogram", e);
        }
    }

    long total() {
        return bytes.values().stream().mapToLong(Long::longValue).sum();
    }

    /** What this one holds more than another. */
    ClassHistogram since(ClassHistogram before) {
        Map<String, Long> more = new LinkedHashMap<>(bytes);
        before.bytes.forEach((name, held) -> more.merge(name, -held, Long::sum));
        return new ClassHistogram(more);
    }
}
