import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** The platform in an upgrade: it holds the listening socket, and all processes share one folder, as left. */
final class Platform {
    final int port;
    private final Path folder;
    private final Process holder;
    private final BufferedReader replies;
    private final Path shared;

    Platform(Path folder) throws IOException {
        this.folder = folder;
        shared = Files.createDirectories(folder.resolve("tmp-shared"));
        holder = new ProcessBuilder("perl", PoolerProcess.root().resolve("review/stands/holder.pl").toString())
                .directory(PoolerProcess.root().toFile())
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        replies = new BufferedReader(new InputStreamReader(holder.getInputStream(), StandardCharsets.US_ASCII));
        port = Integer.parseInt(replies.readLine());
    }

    /** Starts a process of the pooler; returns it with its id. */
    ProcessHandle start(String process, Path config, int control) throws IOException {
        Map<String, String> variables = Map.of(
                "TMPDIR", shared.toString(),
                "GW_CONFIG", config.toString(),
                "GW_NAME", "n1",
                "GW_LISTEN", "127.0.0.1:" + port,
                "GW_CONTROL", "127.0.0.1:" + control,
                "GW_FD", "0");
        StringBuilder line = new StringBuilder(log(process) + "\t" + PoolerProcess.runLine());
        variables.forEach((name, value) -> line.append('\t').append(name).append('=').append(value));
        OutputStream out = holder.getOutputStream();
        out.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
        out.flush();
        return ProcessHandle.of(Long.parseLong(replies.readLine())).orElseThrow();
    }

    Path log(String process) {
        return folder.resolve(process + ".log");
    }

    /** Waits until STATUS is answered with OK. */
    static boolean awaitYes(int control, long millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < until) {
            try {
                if (Client.operator(control, "STATUS").startsWith("OK")) {
                    return true;
                }
            } catch (IOException e) {
                // Not yet.
            }
            Thread.sleep(20);
        }
        return false;
    }

    static void signal(ProcessHandle process, String signal) throws IOException, InterruptedException {
        Net.signal(process.pid(), signal);
    }

    /** Ends the holder, which ends what it has started. */
    void end() throws InterruptedException {
        try {
            holder.getOutputStream().close();
        } catch (IOException e) {
            // It has ended.
        }
        holder.waitFor(5, java.util.concurrent.TimeUnit.SECONDS);
        holder.destroyForcibly();
    }
}
