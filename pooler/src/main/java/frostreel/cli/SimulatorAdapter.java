package frostreel.cli;

import frostreel.simulator.WireAdapter;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** The command {@code simulator}: runs the routing decisions alone, behind the simulator's wire protocol. */
@Command(
        name = "simulator",
        description = "Runs the routing decisions for the simulator, over standard input and output.",
        mixinStandardHelpOptions = true)
final class SimulatorAdapter implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
        return WireAdapter.run(System.in, System.out, System.err);
    }
}
