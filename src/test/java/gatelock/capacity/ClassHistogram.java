package gatelock.capacity;

import java.lang.management.ManagementFactory;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.management.JMException;
import javax.management.ObjectName;

/** Bytes of heap that live objects occupy, by class, from the JVM's class histogram after a full garbage collection. */
record ClassHistogram(Map<String, Long> bytes) {
    /** A line with the rank, the number of instances, their bytes and the class name. */
    private static final Pattern LINE = Pattern.compile("(?m)^ *\\d+: +\\d+ +(\\d+) +(\\S+)");

    /** Parses the output of {@code jcmd GC.class_histogram}. */
    static ClassHistogram parse(String text) {
        Map<String, Long> bytes = new LinkedHashMap<>();
        Matcher line = LINE.matcher(text);
        while (line.find()) {
            bytes.merge(line.group(2), Long.parseLong(line.group(1)), Long::sum);
        }
        return new ClassHistogram(bytes);
    }

    /** Takes a histogram of this process, which runs a full garbage collection first. */
    static ClassHistogram ofThisProcess() {
        try {
            return parse((String) ManagementFactory.getPlatformMBeanServer()
                    .invoke(
                            new ObjectName("com.sun.management:type=DiagnosticCommand"),
                            "gcClassHistogram",
                            new Object[] {new String[0]},
                            new String[] {String[].class.getName()}));
        } catch (JMException e) {
            throw new IllegalStateException("cannot read the class histogram of this JVM", e);
        }
    }

    /** Returns the bytes of all classes. */
    long totalBytes() {
        return bytes.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the bytes added since an earlier histogram, by class; negative if a class has fewer bytes now. */
    ClassHistogram since(ClassHistogram before) {
        Map<String, Long> difference = new LinkedHashMap<>(bytes);
        before.bytes.forEach((name, bytesBefore) -> difference.merge(name, -bytesBefore, Long::sum));
        return new ClassHistogram(difference);
    }
}
