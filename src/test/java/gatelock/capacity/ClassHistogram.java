package gatelock.capacity;

import java.lang.management.ManagementFactory;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.management.JMException;
import javax.management.ObjectName;

/** Bytes of heap that live objects take, by class, as the JVM's class histogram gives them after a full collection. */
record ClassHistogram(Map<String, Long> bytes) {
    /** A rank, the number of instances, their bytes and the name of their class. */
    private static final Pattern LINE = Pattern.compile("(?m)^ *\\d+: +\\d+ +(\\d+) +(\\S+)");

    /** Reads the text that {@code jcmd GC.class_histogram} prints. */
    static ClassHistogram parse(String text) {
        Map<String, Long> bytes = new LinkedHashMap<>();
        Matcher line = LINE.matcher(text);
        while (line.find()) {
            bytes.merge(line.group(2), Long.parseLong(line.group(1)), Long::sum);
        }
        return new ClassHistogram(bytes);
    }

    static ClassHistogram ofThisProcess() {
        try {
            return parse((String) ManagementFactory.getPlatformMBeanServer()
                    .invoke(
                            new ObjectName("com.sun.management:type=DiagnosticCommand"),
                            "gcClassHistogram",
                            new Object[] {new String[0]},
                            new String[] {String[].class.getName()}));
        } catch (JMException e) {
            throw new IllegalStateException("this JVM gives no class histogram", e);
        }
    }

    /** Bytes of all classes. */
    long totalBytes() {
        return bytes.values().stream().mapToLong(Long::longValue).sum();
    }

    /** By class, the bytes that this histogram has more than an earlier one; negative: fewer. */
    ClassHistogram since(ClassHistogram before) {
        Map<String, Long> difference = new LinkedHashMap<>(bytes);
        before.bytes.forEach((name, heldBefore) -> difference.merge(name, -heldBefore, Long::sum));
        return new ClassHistogram(difference);
    }
}
