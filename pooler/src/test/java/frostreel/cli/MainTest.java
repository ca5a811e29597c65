package frostreel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

class MainTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();
    private final CommandLine line = Main.commandLine().setOut(new PrintWriter(out))
            .setErr(new PrintWriter(err));

    @Test void aFaultyCallExitsWithTwoAndNamesTheFault() {
        assertThat(line.execute()).isEqualTo(2);
        assertThat(line.execute("sevre")).isEqualTo(2);
        assertThat(err.toString()).contains("Missing required subcommand").contains("sevre");
        assertThat(line.execute("serve", "--fast")).isEqualTo(2);
        assertThat(err.toString()).contains("--fast");
        assertThat(out.toString()).isEmpty();
    }

    @Test void helpNamesEachCommandAndTheVersionIsShown() {
        assertThat(line.execute("--help")).isZero();
        assertThat(out.toString()).contains("serve", "simhost", "rehearse");
        assertThat(line.execute("--version")).isZero();
        assertThat(out.toString()).contains("frostreel ");
        assertThat(line.execute("serve", "--help")).isZero();
        assertThat(out.toString()).contains("GW_CONFIG");
    }
}
