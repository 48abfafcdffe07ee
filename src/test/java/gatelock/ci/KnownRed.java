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
 * line for each, {@code package.Class.test | cause | issue}; the reports are Surefire's. Ends with 0 only where just
 * the named tests failed and all of them did run.
 */
public final class KnownRed {
    static final int MOST = 3;

    /** How a test ended: whether it failed, over all its runs. */
    private final Map<String, Boolean> failed = new LinkedHashMap<>();

    private KnownRed() {}

    public static void main(String[] args) throws Exception {
        List<String> wrong = new ArrayList<>();
        List<String> let = judge(Path.of(args[0]), Path.of(args[1]), wrong);
        let.forEach(line -> System.out.println("known red: " + line));
        wrong.forEach(line -> System.out.println("FAILED: " + line));
        System.exit(wrong.isEmpty() ? 0 : 1);
    }

    /** The lines that are let pass; what is wrong with the run or the list is added. */
    static List<String> judge(Path list, Path reports, List<String> wrong)
            throws IOException, ParserConfigurationException, SAXException {
        KnownRed run = new KnownRed();
        run.read(reports);
        if (run.failed.isEmpty()) {
            wrong.add("no test ran");
        }
        List<String> lines = Files.exists(list)
                ? Files.readAllLines(list).stream().filter(l -> !l.isBlank()).toList()
                : List.of();
        if (lines.size() > MOST) {
            wrong.add(lines.size() + " lines in " + list.getFileName() + ", " + MOST + " at most");
        }
        List<String> named = new ArrayList<>();
        for (String line : lines) {
            String[] parts = line.split("\\|", -1);
            named.add(parts[0].trim());
            if (parts.length != 3 || parts[1].isBlank() || parts[2].isBlank()) {
                wrong.add("not of the form test | cause | issue: " + line);
            } else if (!run.failed.containsKey(named.get(named.size() - 1))) {
                wrong.add("names no test that ran: " + line);
            }
        }
        run.failed.forEach((test, red) -> {
            if (red && !named.contains(test)) {
                wrong.add(test);
            }
        });
        return lines;
    }

    private void read(Path reports) throws IOException, ParserConfigurationException, SAXException {
        DocumentBuilder builder = DocumentBuilderFactory.newInstance().newDocumentBuilder();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(reports, "TEST-*.xml")) {
            for (Path file : files) {
                NodeList cases = builder.parse(file.toFile()).getElementsByTagName("testcase");
                for (int i = 0; i < cases.getLength(); i++) {
                    Element test = (Element) cases.item(i);
                    boolean red = test.getElementsByTagName("failure").getLength() > 0
                            || test.getElementsByTagName("error").getLength() > 0;
                    if (test.getElementsByTagName("skipped").getLength() == 0) {
                        failed.merge(
                                test.getAttribute("classname") + "." + test.getAttribute("name"),
                                red,
                                Boolean::logicalOr);
                    }
                }
            }
        }
    }
}
