package frostreel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** The command line: invalid usage, help, version and the command {@code check}. */
class MainTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();
    private final CommandLine line =
            Main.commandLine().setOut(new PrintWriter(out)).setErr(new PrintWriter(err));

    @Test
    void rejectsInvalidUsageAndNamesTheError() {
        assertThat(line.execute()).isEqualTo(2);
        assertThat(line.execute("sevre")).isEqualTo(2);
        assertThat(err.toString()).contains("Missing required subcommand").contains("sevre");
        assertThat(line.execute("serve", "--fast")).isEqualTo(2);
        assertThat(err.toString()).contains("--fast");
        assertThat(out.toString()).isEmpty();
    }

    @Test
    void checkReportsEveryErrorOfEveryFile(@TempDir Path folder) throws Exception {
        String head = "<frostreel xmlns='urn:frostreel:settings:1'>";
        Path valid = Files.writeString(folder.resolve("valid.xml"), head + "</frostreel>");
        Path invalid = Files.writeString(folder.resolve("wrong.xml"), head + "<log level='x'/><y/></frostreel>");
        assertThat(line.execute("check", valid.toString())).isZero();
        assertThat(line.execute(
                        "check",
                        valid.toString(),
                        invalid.toString(),
                        folder.resolve("no").toString()))
                .isEqualTo(2);
        assertThat(out.toString()).contains("valid.xml: good").doesNotContain("wrong.xml");
        assertThat(err.toString()).contains("wrong.xml:1:", "frostreel/log@level", "frostreel/y", "cannot be read");
    }

    @Test
    void listsCommandsInHelpAndPrintsTheVersion() {
        assertThat(line.execute("--help")).isZero();
        assertThat(out.toString()).contains("serve", "simulator", "train-archive");
        assertThat(line.execute("--version")).isZero();
        assertThat(out.toString()).contains("frostreel ");
        assertThat(line.execute("serve", "--help")).isZero();
        assertThat(out.toString()).contains("GW_CONFIG");
    }
}
