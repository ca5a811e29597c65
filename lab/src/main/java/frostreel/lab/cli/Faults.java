package frostreel.lab.cli;

import frostreel.lab.processes.FaultCampaign;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Plays every fault of the system at every point of a pooler's life. */
@Command(
        name = "faults",
        mixinStandardHelpOptions = true,
        description = "Makes system calls of a pooler"
                + " fail, its wall clock jump, its disk fill and its discovery slow, at its start, under load and at"
                + " its end; exit code 0 where service came back each time, 1 where it did not.")
final class Faults implements Callable<Integer> {
    @Option(
            names = "--poolers",
            paramLabel = "N",
            defaultValue = "1",
            description = "Processes of the" + " program; ${DEFAULT-VALUE} where left out.")
    private int poolers;

    @Option(
            names = "--groups",
            paramLabel = "N",
            defaultValue = "2",
            description = "Groups of three servers" + " each; ${DEFAULT-VALUE} where left out.")
    private int groups;

    @Option(
            names = "--seconds",
            paramLabel = "S,...",
            split = ",",
            defaultValue = "0,1,3,10",
            description = "How long faults last, 0 for a call that fails once; ${DEFAULT-VALUE}.")
    private List<Integer> seconds;

    @Option(
            names = "--only",
            paramLabel = "NAME",
            defaultValue = "",
            description = "Cases whose name begins" + " so, as accept-enfile-load.")
    private String only;

    @Mixin
    private ProgramOption program;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            required = true,
            description = "Keeps what each case showed" + " and campaign.csv there.")
    private Path folder;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        Path jar = program.existing();
        FaultCampaign campaign = new FaultCampaign(
                new FaultCampaign.Size(poolers, groups), spec.commandLine().getOut());
        return ExitCodes.of(campaign.run(seconds, only, jar, folder));
    }
}
