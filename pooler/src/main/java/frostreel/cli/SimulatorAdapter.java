package frostreel.cli;

import frostreel.simulator.WireAdapter;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** The command {@code simulator}: runs the routing decisions alone, on the simulator's wire protocol. */
@Command(
        name = "simulator",
        description = "Plays the decisions on the simulator's wire, by standard input and output.",
        mixinStandardHelpOptions = true)
final class SimulatorAdapter implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
        return WireAdapter.run(System.in, System.out, System.err);
    }
}
