package gatelock.ci;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import javax.xml.parsers.DocumentBuilder;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;
import org.xml.sax.SAXException;

/**
 * Judges a test run in which some tests are known to fail: {@code java KnownRed.java LIST REPORTS}. The list has a
 * line for each, {@code package.Class.test | cause | issue}; the reports are Surefire's. Exits with 0 only if no other
 * test failed and all named tests ran.
 *
 * <p>CI launches this file from its source, so it must not use other classes of the project.
 */
public final class KnownRed {
    /** So that the list does not become a place for tests that nobody mends. */
    static final int MAX_ENTRIES = 3;

    private static final int FIELDS = 3;

    private KnownRed() {}

    /** Prints the known failures and the problems of a run. */
    public static void main(String[] args) throws Exception {
        Verdict verdict = judge(Path.of(args[0]), Path.of(args[1]));
        verdict.knownFailures.forEach(line -> System.out.println("known red: " + line));
        verdict.problems.forEach(problem -> System.out.println("FAILED: " + problem));
        System.exit(verdict.problems.isEmpty() ? 0 : 1);
    }

    /**
     * What came of a run.
     *
     * @param knownFailures the lines of the list
     * @param problems tests that failed and are not on the list, and what is wrong with the list; none: the run passes
     */
    record Verdict(List<String> knownFailures, List<String> problems) {}

    /**
     * Judges a run.
     *
     * @param list the file of known failures; it may be missing
     * @param reports the directory of Surefire's reports
     */
    static Verdict judge(Path list, Path reports) throws IOException, ParserConfigurationException, SAXException {
        Map<String, Boolean> failedByTest = readReports(reports);
        List<String> lines = Files.exists(list)
                ? Files.readAllLines(list).stream()
                        .filter(line -> !line.isBlank())
                        .toList()
                : List.of();
        List<String> problems = new ArrayList<>();
        if (failedByTest.isEmpty()) {
            problems.add("no test ran");
        }
        if (lines.size() > MAX_ENTRIES) {
            problems.add(lines.size() + " lines in " + list.getFileName() + ", " + MAX_ENTRIES + " at most");
        }
        List<String> namedTests = checkLines(lines, failedByTest, problems);
        failedByTest.forEach((test, failed) -> {
            if (failed && !namedTests.contains(test)) {
                problems.add(test);
            }
        });
        return new Verdict(lines, problems);
    }

    /** Adds what is wrong with the lines to the problems; returns the tests that they name. */
    private static List<String> checkLines(
            List<String> lines, Map<String, Boolean> failedByTest, List<String> problems) {
        List<String> namedTests = new ArrayList<>();
        for (String line : lines) {
            String[] fields = line.split("\\|", -1);
            String test = fields[0].trim();
            namedTests.add(test);
            if (fields.length != FIELDS || fields[1].isBlank() || fields[2].isBlank()) {
                problems.add("not of the form test | cause | issue: " + line);
            } else if (!failedByTest.containsKey(test)) {
                problems.add("names no test that ran: " + line);
            }
        }
        return namedTests;
    }

    /** For each test that ran, whether it failed in any of its runs; skipped tests did not run. */
    private static Map<String, Boolean> readReports(Path reports)
            throws IOException, ParserConfigurationException, SAXException {
        Map<String, Boolean> failedByTest = new LinkedHashMap<>();
        DocumentBuilder builder = DocumentBuilderFactory.newInstance().newDocumentBuilder();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(reports, "TEST-*.xml")) {
            for (Path file : files) {
                NodeList testCases = builder.parse(file.toFile()).getElementsByTagName("testcase");
                for (int i = 0; i < testCases.getLength(); i++) {
                    Element testCase = (Element) testCases.item(i);
                    if (!has(testCase, "skipped")) {
                        String test = testCase.getAttribute("classname") + "." + testCase.getAttribute("name");
                        boolean failed = has(testCase, "failure") || has(testCase, "error");
                        failedByTest.merge(test, failed, Boolean::logicalOr);
                    }
                }
            }
        }
        return failedByTest;
    }

    private static boolean has(Element element, String child) {
        return element.getElementsByTagName(child).getLength() > 0;
    }
}
