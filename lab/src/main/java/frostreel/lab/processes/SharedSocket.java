package frostreel.lab.processes;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A listening socket that outlives the processes that accept from it. The platform holds such a socket during an
 * upgrade, and each process inherits it as descriptor 0. Java cannot pass a socket to a child process, so a
 * few lines of Perl, which every Debian system has, hold the socket and start the processes.
 */
final class SharedSocket {
    /** Prints the port; then starts the command of each line that it reads, and prints the process id. */
    private static final String HOLDER = """
            use Socket; use POSIX (); $| = 1; $SIG{CHLD} = 'IGNORE';
            socket(my $s, PF_INET, SOCK_STREAM, 0) or die $!;
            bind($s, sockaddr_in(0, inet_aton($ARGV[0]))) or die $!;
            listen($s, 1024) or die $!;
            print((sockaddr_in(getsockname($s)))[0], "\\n");
            while (my $command = <STDIN>) {
                my $pid = fork();
                if (!$pid) { POSIX::dup2(fileno($s), 0); exec('/bin/sh', '-c', $command); POSIX::_exit(127); }
                print "$pid\\n";
            }
            """;

    private final Process holder;
    private final PrintStream commands;
    private final BufferedReader answers;
    private final InetSocketAddress address;

    SharedSocket(String host) throws IOException {
        holder = new ProcessBuilder("perl", "-e", HOLDER, host)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        commands = new PrintStream(holder.getOutputStream(), true, StandardCharsets.UTF_8);
        answers = new BufferedReader(new InputStreamReader(holder.getInputStream(), StandardCharsets.UTF_8));
        address = new InetSocketAddress(host, readNumber());
    }

    /** The next number that the holder prints: its port at first, then process ids. */
    private int readNumber() throws IOException {
        String line = answers.readLine();
        if (line == null) {
            throw new IOException("what holds the shared socket has ended");
        }
        return Integer.parseInt(line);
    }

    InetSocketAddress address() {
        return address;
    }

    /**
     * Starts a process that has the socket as descriptor 0.
     *
     * @param command the arguments; neither they nor the environment may contain quotes or line breaks
     * @param log the file that takes the output
     */
    ProcessHandle start(List<String> command, Map<String, String> environment, Path log) throws IOException {
        StringBuilder line = new StringBuilder("exec env -u HOSTNAME");
        environment.forEach((name, value) ->
                line.append(" '").append(name).append('=').append(value).append('\''));
        command.forEach(argument -> line.append(" '").append(argument).append('\''));
        commands.println(line + " >'" + log + "' 2>&1");
        long pid = readNumber();
        return ProcessHandle.of(pid).orElseThrow(() -> new IOException("process " + pid + " ended at once"));
    }

    /** Closes the socket; the processes that have inherited it keep it. */
    void close() throws InterruptedException {
        holder.destroyForcibly().waitFor();
    }
}
