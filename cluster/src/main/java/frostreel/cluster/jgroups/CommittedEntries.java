package frostreel.cluster.jgroups;

import frostreel.cluster.Peer;
import frostreel.cluster.ReplicatedLog;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInput;
import java.io.DataInputStream;
import java.io.DataOutput;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.jgroups.raft.StateMachine;

/**
 * State machine of the replicated log. It reaches the same state at each member, since it depends only on the
 * committed proposals and their order. Proposals that were retried because a response was lost are deduplicated, so
 * that none has two indexes. Called on the library's thread.
 */
final class CommittedEntries implements StateMachine {
    /** Response to a proposal that is committed after a later one of the same member; not used as an index. */
    static final long SUPERSEDED = 0;

    /**
     * The latest committed proposal of a member.
     *
     * @param sequence number of the proposal, counted from 1 in each incarnation
     * @param index index of its entry
     */
    private record LatestProposal(long incarnation, long sequence, long index) {
        boolean isAfter(LatestProposal other) {
            return incarnation > other.incarnation || (incarnation == other.incarnation && sequence > other.sequence);
        }

        boolean isSameProposal(LatestProposal other) {
            return incarnation == other.incarnation && sequence == other.sequence;
        }
    }

    private final ReplicatedLog.Listener listener;
    private final Map<String, LatestProposal> latestByMember = new HashMap<>();
    private final NavigableMap<Long, byte[]> retained = new TreeMap<>();
    private long lastIndex;
    private long lastNotifiedIndex;

    CommittedEntries(ReplicatedLog.Listener listener) {
        this.listener = listener;
    }

    /**
     * Encodes a proposal in the format in which the log stores it.
     *
     * @param sequence number of the proposal among those of the proposer's incarnation
     */
    static byte[] encodeProposal(Peer proposer, long sequence, byte[] entry) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeUTF(proposer.name());
            out.writeLong(proposer.incarnation());
            out.writeLong(sequence);
            out.write(entry);
        } catch (IOException e) {
            throw new IllegalStateException(e); // Cannot occur, because the stream writes to memory.
        }
        return bytes.toByteArray();
    }

    /** The index in the response to a proposal, or {@link #SUPERSEDED}. */
    static long decodeResponse(byte[] response) {
        return ByteBuffer.wrap(response).getLong();
    }

    private static byte[] encodeResponse(long index) {
        return ByteBuffer.allocate(Long.BYTES).putLong(index).array();
    }

    @Override
    public byte[] apply(byte[] data, int offset, int length, boolean wantsResponse) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(data, offset, length));
        String member = in.readUTF();
        LatestProposal proposal = new LatestProposal(in.readLong(), in.readLong(), lastIndex + 1);
        LatestProposal latest = latestByMember.get(member);
        if (latest != null && !proposal.isAfter(latest)) {
            return encodeResponse(proposal.isSameProposal(latest) ? latest.index : SUPERSEDED);
        }
        lastIndex++;
        latestByMember.put(member, proposal);
        retained.put(lastIndex, in.readAllBytes());
        if (retained.size() > ReplicatedLog.RETAINED_ENTRIES) {
            retained.pollFirstEntry();
        }
        notifyListener();
        return encodeResponse(lastIndex);
    }

    private void notifyListener() {
        retained.tailMap(lastNotifiedIndex, false).forEach(listener::onCommitted);
        lastNotifiedIndex = Math.max(lastNotifiedIndex, lastIndex);
    }

    @Override
    public void writeContentTo(DataOutput out) throws IOException {
        out.writeLong(lastIndex);
        out.writeInt(latestByMember.size());
        for (Map.Entry<String, LatestProposal> member : latestByMember.entrySet()) {
            LatestProposal latest = member.getValue();
            out.writeUTF(member.getKey());
            out.writeLong(latest.incarnation);
            out.writeLong(latest.sequence);
            out.writeLong(latest.index);
        }
        out.writeInt(retained.size());
        for (Map.Entry<Long, byte[]> entry : retained.entrySet()) {
            out.writeLong(entry.getKey());
            out.writeInt(entry.getValue().length);
            out.write(entry.getValue());
        }
    }

    @Override
    public void readContentFrom(DataInput in) throws IOException {
        lastIndex = in.readLong();
        latestByMember.clear();
        for (int remaining = in.readInt(); remaining > 0; remaining--) {
            latestByMember.put(in.readUTF(), new LatestProposal(in.readLong(), in.readLong(), in.readLong()));
        }
        retained.clear();
        for (int remaining = in.readInt(); remaining > 0; remaining--) {
            long index = in.readLong();
            byte[] entry = new byte[in.readInt()];
            in.readFully(entry);
            retained.put(index, entry);
        }
        notifyListener();
    }
}
