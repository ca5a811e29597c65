package frostreel.lab;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.pg.Messages;
import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The program as the platform runs it: its options, and no package, port or thread beyond those it needs. */
class DeployedRunTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final String JAR = "pooler/target/frostreel.jar";
    private static final List<String> OPTIONS = List.of(
            "-Djava.net.preferIPv4Stack=true",
            "-Xms48m",
            "-Xmx72m",
            "-Xss512k",
            "-XX:+UseSerialGC",
            "-XX:MaxMetaspaceSize=28m",
            "-XX:ReservedCodeCacheSize=16m",
            "-XX:MaxDirectMemorySize=8m",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData",
            "-XX:+ExitOnOutOfMemoryError",
            "-XX:SharedArchiveFile=pooler/target/frostreel.jsa");
    /** Threads that the JVM starts for itself, whatever it runs; the system cuts names to 15 bytes. */
    private static final Set<String> JVM_THREADS = Set.of(
            "C1 CompilerThre",
            "Common-Cleaner",
            "Finalizer",
            "Monitor Deflati",
            "Notification Th",
            "Reference Handl",
            "Service Thread",
            "Signal Dispatch",
            "Sweeper thread",
            "VM Periodic Tas",
            "VM Thread",
            "java",
            "process reaper");

    @TempDir
    Path dir;

    private static List<String> run() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"exec (.*)\"$")
                .matcher(Files.readString(ROOT.resolve("deploy/balancer.toml")));
        assertThat(run.find()).as("run is one process, by exec").isTrue();
        return List.of(run.group(1).split(" "));
    }

    @Test
    void runCommandHasExactlyTheKnownOptions() throws Exception {
        List<String> expected = new ArrayList<>(List.of("java"));
        expected.addAll(OPTIONS);
        expected.addAll(List.of("-jar", JAR, "serve"));
        assertThat(run()).isEqualTo(expected);
    }

    @Test
    void deployedProgramLoadsNothingOptionalAndHasOneListenerAndKnownThreads() throws Exception {
        Path classes = dir.resolve("classes");
        List<String> command = new ArrayList<>(run());
        command.add(1, "-Xlog:class+load:file=" + classes);
        Files.writeString(dir.resolve("pooler.json"), """
                {"name":"guard","listen":"127.0.0.1:0","seed":"1","limits":{"sockets":256},
                "settings":{"zones":["z"],"machineTypes":["m"],"caps":{"maxAttempts":4},"rules":{},
                "classes":[{"name":"look","deadlineS":1,"repeat":"retryable"}],
                "familyInfo":{"freshness":["any"]}}}""");
        try (ServerSocket discovery = new ServerSocket(0, 9, InetAddress.getByName("127.0.0.1"))) {
            ProcessBuilder builder = new ProcessBuilder(command).directory(ROOT.toFile());
            builder.environment().put("GW_CONFIG", dir.resolve("pooler.json").toString());
            builder.environment().put("GW_DISCOVERY", "127.0.0.1:" + discovery.getLocalPort());
            Process program = builder.start();
            try {
                assertServesWithoutOptionalParts(program, classes);
            } finally {
                program.destroyForcibly().waitFor();
            }
        }
    }

    private static void assertServesWithoutOptionalParts(Process program, Path classes) throws IOException {
        BufferedReader log = program.errorReader();
        Matcher listening =
                Pattern.compile("listening on /127.0.0.1:(\\d+) as guard").matcher("");
        String line = log.readLine();
        while (line != null && !listening.reset(line).find()) {
            line = log.readLine();
        }
        assertThat(line).as("the program listens").isNotNull();
        int port = Integer.parseInt(listening.group(1));
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.getOutputStream().write(Messages.startup());
            assertThat(answer(client)).startsWith("R");
            for (String page : List.of("stats", "zones")) {
                client.getOutputStream()
                        .write(Messages.query(("SHOW " + page + "\0").getBytes(StandardCharsets.US_ASCII)));
                assertThat(answer(client)).as(page).startsWith(page.equals("stats") ? "T" : "E");
            }
        }
        String loaded = Files.readString(classes);
        assertThat(loaded).contains(" frostreel.frontend.ClientConnection ");
        for (String optional : Packages.OPTIONAL) {
            assertThat(loaded).doesNotContain(" " + optional + ".");
        }
        assertThat(listeners(program.pid())).containsExactly(port);
        assertThat(threads(program.pid()))
                .containsExactlyInAnyOrder("frostreel I/O-1", "frostreel Accep", "Reference Reape", "log", "watchdog");
    }

    /** The types of an answer's messages, up to ReadyForQuery. */
    private static String answer(Socket client) throws IOException {
        DataInputStream in = new DataInputStream(client.getInputStream());
        StringBuilder types = new StringBuilder();
        do {
            types.append((char) in.readUnsignedByte());
            in.skipNBytes(in.readInt() - Integer.BYTES);
        } while (types.charAt(types.length() - 1) != 'Z');
        return types.toString();
    }

    /** The ports on which a process listens, over IPv4 and IPv6. */
    private static List<Integer> listeners(long pid) throws IOException {
        Set<String> sockets = new TreeSet<>();
        try (Stream<Path> open = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            for (Path link : open.toList()) {
                sockets.add(Files.readSymbolicLink(link).toString());
            }
        }
        List<Integer> ports = new ArrayList<>();
        for (String table : List.of("tcp", "tcp6")) {
            for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/net/" + table))) {
                String[] fields = line.trim().split(" +"); // Local address, state and inode among them.
                if (fields[3].equals("0A") && sockets.contains("socket:[" + fields[9] + "]")) {
                    ports.add(Integer.parseInt(fields[1].substring(fields[1].indexOf(':') + 1), 16));
                }
            }
        }
        return ports;
    }

    /** The program's own threads, by name. */
    private static List<String> threads(long pid) throws IOException {
        try (Stream<Path> tasks = Files.list(Path.of("/proc/" + pid + "/task"))) {
            List<String> names = new ArrayList<>();
            for (Path task : tasks.toList()) {
                names.add(Files.readString(task.resolve("comm")).trim());
            }
            return names.stream().filter(name -> !JVM_THREADS.contains(name)).collect(Collectors.toList());
        }
    }
}
