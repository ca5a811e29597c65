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
 * What the log's entries come to: the same at each member, as it depends on them and their order alone. A
 * proposal that was sent again, as its first answer was lost, is told from a new one and gets no second
 * number. On the log's own thread.
 */
final class CommittedEntries implements StateMachine {
    /** A member's newest proposal that was chosen. */
    private record LatestProposal(long incarnation, long sequence, long index) {}

    private final ReplicatedLog.Listener listener;
    private final Map<String, LatestProposal> latestByMember = new HashMap<>();
    private final NavigableMap<Long, byte[]> retained = new TreeMap<>();
    private long index;
    private long notified;

    CommittedEntries(ReplicatedLog.Listener listener) {
        this.listener = listener;
    }

    /** As it is written to the log; {@code sequence}: the how-manieth of this life. */
    static byte[] proposal(Peer by, long sequence, byte[] entry) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeUTF(by.name());
            out.writeLong(by.incarnation());
            out.writeLong(sequence);
            out.write(entry);
        } catch (IOException e) {
            throw new IllegalStateException(e); // Nothing is written but memory.
        }
        return bytes.toByteArray();
    }

    /** The number of a proposal's answer; 0 where a later one of the same member was chosen before it. */
    static long index(byte[] answer) {
        return ByteBuffer.wrap(answer).getLong();
    }

    @Override
    public byte[] apply(byte[] data, int offset, int length, boolean wantsAnswer) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(data, offset, length));
        String name = in.readUTF();
        LatestProposal mine = new LatestProposal(in.readLong(), in.readLong(), index + 1);
        LatestProposal before = latestByMember.get(name);
        if (before != null && (mine.incarnation < before.incarnation || mine.incarnation == before.incarnation && mine.sequence <= before.sequence)) {
            boolean again = mine.incarnation == before.incarnation && mine.sequence == before.sequence;
            return answer(again ? before.index : 0);
        }
        index++;
        latestByMember.put(name, mine);
        retained.put(index, in.readAllBytes());
        if (retained.size() > ReplicatedLog.RETAINED_ENTRIES) {
            retained.pollFirstEntry();
        }
        notifyListener();
        return answer(index);
    }

    private static byte[] answer(long index) {
        return ByteBuffer.allocate(Long.BYTES).putLong(index).array();
    }

    private void notifyListener() {
        retained.tailMap(notified, false).forEach(listener::onCommitted);
        notified = Math.max(notified, index);
    }

    @Override
    public void writeContentTo(DataOutput out) throws IOException {
        out.writeLong(index);
        out.writeInt(latestByMember.size());
        for (Map.Entry<String, LatestProposal> e : latestByMember.entrySet()) {
            out.writeUTF(e.getKey());
            out.writeLong(e.getValue().incarnation);
            out.writeLong(e.getValue().sequence);
            out.writeLong(e.getValue().index);
        }
        out.writeInt(retained.size());
        for (Map.Entry<Long, byte[]> e : retained.entrySet()) {
            out.writeLong(e.getKey());
            out.writeInt(e.getValue().length);
            out.write(e.getValue());
        }
    }

    @Override
    public void readContentFrom(DataInput in) throws IOException {
        index = in.readLong();
        latestByMember.clear();
        for (int remaining = in.readInt(); remaining > 0; remaining--) {
            latestByMember.put(in.readUTF(), new LatestProposal(in.readLong(), in.readLong(), in.readLong()));
        }
        retained.clear();
        for (int remaining = in.readInt(); remaining > 0; remaining--) {
            long entryIndex = in.readLong();
            byte[] entry = new byte[in.readInt()];
            in.readFully(entry);
            retained.put(entryIndex, entry);
        }
        notifyListener();
    }
}
