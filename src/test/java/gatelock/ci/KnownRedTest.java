package gatelock.ci;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Which runs CI lets pass, told from reports of the form that Surefire writes. */
final class KnownRedTest {
    private static final String LINE = "a.OneTest.fails | the list is read late | issue 32\n";

    @TempDir
    private Path dir;

    private Path list;

    @BeforeEach
    void aRunWithOneFailure() throws Exception {
        list = dir.resolve("KNOWN-RED.txt");
        report(
                "a.OneTest",
                "<testcase name='fails' classname='a.OneTest'><failure type='x'>no</failure></testcase>"
                        + "<testcase name='holds' classname='a.OneTest'/>");
    }

    private void report(String type, String cases) throws Exception {
        Files.writeString(
                dir.resolve("TEST-" + type + ".xml"), "<?xml version='1.0'?><testsuite>" + cases + "</testsuite>");
    }

    private List<String> wrong() throws Exception {
        List<String> wrong = new ArrayList<>();
        KnownRed.judge(list, dir, wrong);
        return wrong;
    }

    @Test
    void aNamedFailurePassesAndIsTold() throws Exception {
        Files.writeString(list, LINE);
        List<String> wrong = new ArrayList<>();
        assertThat(KnownRed.judge(list, dir, wrong)).containsExactly(LINE.trim());
        assertThat(wrong).isEmpty();
    }

    @Test
    void aFailureThatNobodyNamedFails() throws Exception {
        assertThat(wrong()).containsExactly("a.OneTest.fails");
        Files.writeString(list, LINE);
        report("a.TwoTest", "<testcase name='breaks' classname='a.TwoTest'><error type='x'>no</error></testcase>");
        assertThat(wrong()).containsExactly("a.TwoTest.breaks");
    }

    @Test
    void aLineForNoTestThatRanFails() throws Exception {
        Files.writeString(list, LINE + LINE.replace("fails", "gone"));
        assertThat(wrong())
                .containsExactly("names no test that ran: " + LINE.trim().replace("fails", "gone"));
        report("a.TwoTest", "<testcase name='left' classname='a.TwoTest'><skipped/></testcase>");
        Files.writeString(list, LINE + LINE.replace("OneTest.fails", "TwoTest.left"));
        assertThat(wrong()).singleElement().asString().startsWith("names no test that ran: a.TwoTest.left");
    }

    @Test
    void aFourthLineFails() throws Exception {
        Files.writeString(list, LINE.repeat(3));
        assertThat(wrong()).isEmpty();
        Files.writeString(list, LINE.repeat(4));
        assertThat(wrong()).containsExactly("4 lines in KNOWN-RED.txt, 3 at most");
    }

    @Test
    void aLineWithoutItsCauseOrIssueFails() throws Exception {
        for (String line :
                new String[] {"a.OneTest.fails", "a.OneTest.fails | cause", "a.OneTest.fails | | issue 32"}) {
            Files.writeString(list, line);
            assertThat(wrong()).containsExactly("not of the form test | cause | issue: " + line);
        }
    }

    @Test
    void aRunWithoutAnyTestFails() throws Exception {
        Files.delete(dir.resolve("TEST-a.OneTest.xml"));
        assertThat(wrong()).containsExactly("no test ran");
    }
}
