package frostreel.lab.processes;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Writes the operators' file by which poolers find each other. */
final class ClusterFile {
    private static final String FILE_NAME = "frostreel.xml";

    private ClusterFile() {}

    /** Writes the file into a folder and returns its path; {@code binds} has where each pooler listens. */
    static Path write(
            Path folder, long silentAfterMs, List<PoolerNode> poolers, List<InetSocketAddress> binds, PeerRelays peers)
            throws IOException {
        StringBuilder xml = new StringBuilder("<frostreel xmlns=\"urn:frostreel:settings:1\">\n"
                + "  <cluster silentAfterMs=\"" + silentAfterMs + "\">\n");
        for (int i = 0; i < binds.size(); i++) {
            xml.append("    <pooler name=\"")
                    .append(poolers.get(i).name())
                    .append("\" at=\"")
                    .append(PoolerProcess.hostAndPort(peers.address(i)))
                    .append("\" bind=\"")
                    .append(PoolerProcess.hostAndPort(binds.get(i)))
                    .append("\"/>\n");
        }
        xml.append("  </cluster>\n</frostreel>\n");
        return Files.writeString(folder.resolve(FILE_NAME), xml);
    }
}
