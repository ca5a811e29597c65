import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Small helpers for messages, threads and ports. */
final class Net {
    private Net() {}

    interface Task {
        void run() throws Exception;
    }

    static Thread daemon(String name, Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        // The peer has gone, or the case has ended.
                    }
                },
                name,
                1 << 18);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Sends a signal by the shell's own kill. */
    static void signal(long process, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process)
                .inheritIO()
                .start()
                .waitFor();
    }

    static byte[] message(char type, byte[] body) {
        return ByteBuffer.allocate(5 + body.length)
                .put((byte) type)
                .putInt(4 + body.length)
                .put(body)
                .array();
    }

    static byte[] text(String text) {
        return (text + "\0").getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] concat(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
