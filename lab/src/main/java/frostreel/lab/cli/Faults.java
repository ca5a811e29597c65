package frostreel.lab.cli;

import frostreel.lab.processes.FaultCampaign;
import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Plays every fault of the system at each phase of a pooler process: start, load and end. */
@Command(
        name = "faults",
        mixinStandardHelpOptions = true,
        description = "Makes system calls of a pooler"
                + " fail, its wall clock jump, its disk fill and its discovery slow, at its start, under load and at"
                + " its end; exit code 0 where service came back each time, 1 where it did not.")
final class Faults extends LabCommand {
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

    @Override
    boolean play() throws Exception {
        Path jar = program.existing();
        FaultCampaign campaign = new FaultCampaign(new FaultCampaign.Size(poolers, groups), out());
        return campaign.run(seconds, only, jar, folder);
    }
}
