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
 * A listening socket that outlives the processes that accept from it, as the platform of an upgrade holds it:
 * each of them has it as descriptor 0. Java hands no descriptor to a child but files and pipes, so a few
 * lines of Perl, which every Debian system has, hold the socket and start the processes.
 */
final class SharedSocket {
    /** Says its port, then for each line that it reads starts the command there, and says its process id. */
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
        address = new InetSocketAddress(host, number());
    }

    private int number() throws IOException {
        String line = answers.readLine();
        if (line == null) {
            throw new IOException("what holds the shared socket has ended");
        }
        return Integer.parseInt(line);
    }

    InetSocketAddress address() {
        return address;
    }

    /** Starts a process that has the socket as descriptor 0; no word may hold a quote or a line's end. */
    ProcessHandle start(List<String> command, Map<String, String> environment, Path log) throws IOException {
        StringBuilder line = new StringBuilder("exec env -u HOSTNAME");
        environment.forEach((name, value) ->
                line.append(" '").append(name).append('=').append(value).append('\''));
        command.forEach(word -> line.append(" '").append(word).append('\''));
        commands.println(line + " >'" + log + "' 2>&1");
        long pid = number();
        return ProcessHandle.of(pid).orElseThrow(() -> new IOException("process " + pid + " ended at once"));
    }

    void close() throws InterruptedException {
        holder.destroyForcibly().waitFor();
    }
}
