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
    private record Last(long life, long place, long number) {}

    private final ReplicatedLog.Listener listener;
    private final Map<String, Last> last = new HashMap<>();
    private final NavigableMap<Long, byte[]> kept = new TreeMap<>();
    private long number;
    private long told;

    CommittedEntries(ReplicatedLog.Listener listener) {
        this.listener = listener;
    }

    /** As it is written to the log; {@code place}: the how-manieth of this life. */
    static byte[] proposal(Peer by, long place, byte[] entry) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeUTF(by.name());
            out.writeLong(by.life());
            out.writeLong(place);
            out.write(entry);
        } catch (IOException e) {
            throw new IllegalStateException(e); // Nothing is written but memory.
        }
        return bytes.toByteArray();
    }

    /** The number of a proposal's answer; 0 where a later one of the same member was chosen before it. */
    static long number(byte[] answer) {
        return ByteBuffer.wrap(answer).getLong();
    }

    @Override
    public byte[] apply(byte[] data, int offset, int length, boolean wantsAnswer) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(data, offset, length));
        String name = in.readUTF();
        Last mine = new Last(in.readLong(), in.readLong(), number + 1);
        Last before = last.get(name);
        if (before != null && (mine.life < before.life || mine.life == before.life && mine.place <= before.place)) {
            boolean again = mine.life == before.life && mine.place == before.place;
            return answer(again ? before.number : 0);
        }
        number++;
        last.put(name, mine);
        kept.put(number, in.readAllBytes());
        if (kept.size() > ReplicatedLog.KEPT) {
            kept.pollFirstEntry();
        }
        tell();
        return answer(number);
    }

    private static byte[] answer(long number) {
        return ByteBuffer.allocate(Long.BYTES).putLong(number).array();
    }

    private void tell() {
        kept.tailMap(told, false).forEach(listener::chosen);
        told = Math.max(told, number);
    }

    @Override
    public void writeContentTo(DataOutput out) throws IOException {
        out.writeLong(number);
        out.writeInt(last.size());
        for (Map.Entry<String, Last> e : last.entrySet()) {
            out.writeUTF(e.getKey());
            out.writeLong(e.getValue().life);
            out.writeLong(e.getValue().place);
            out.writeLong(e.getValue().number);
        }
        out.writeInt(kept.size());
        for (Map.Entry<Long, byte[]> e : kept.entrySet()) {
            out.writeLong(e.getKey());
            out.writeInt(e.getValue().length);
            out.write(e.getValue());
        }
    }

    @Override
    public void readContentFrom(DataInput in) throws IOException {
        number = in.readLong();
        last.clear();
        for (int left = in.readInt(); left > 0; left--) {
            last.put(in.readUTF(), new Last(in.readLong(), in.readLong(), in.readLong()));
        }
        kept.clear();
        for (int left = in.readInt(); left > 0; left--) {
            long n = in.readLong();
            byte[] entry = new byte[in.readInt()];
            in.readFully(entry);
            kept.put(n, entry);
        }
        tell();
    }
}
