package frostreel.control;

import frostreel.operation.SharedTableStorage;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The file of a {@link SharedTableFile.Format} as storage that is read and written in parts. Unlike a mapped file, it
 * may be cut short or deleted while it is in use: an access past its end fails, where one to mapped memory would end
 * the process. Accesses hit the page cache, as the file is small and in use. Used on the I/O thread unless a method
 * says otherwise.
 */
final class SharedTableChannel implements SharedTableStorage {
    /** Length of the buffer: accesses to more are made in pieces. */
    private static final int BUFFER_LONGS = 1 << 10;

    private final Path folder;
    private final SharedTableFile.Format format;
    private final ByteBuffer buffer =
            ByteBuffer.allocateDirect(BUFFER_LONGS * Long.BYTES).order(ByteOrder.nativeOrder());
    private OpenFile file;

    /** An open file. */
    record OpenFile(FileChannel channel, FileIdentity identity, SharedTableFile.Origin origin) {}

    private SharedTableChannel(Path folder, SharedTableFile.Format format, OpenFile file) {
        this.folder = folder;
        this.format = format;
        this.file = file;
    }

    /** Opens the file in the folder; creates it if it is missing, and replaces one that is corrupt. Blocks. */
    static SharedTableChannel open(Path folder, SharedTableFile.Format format) throws IOException {
        return new SharedTableChannel(folder, format, openFile(folder, format));
    }

    private static OpenFile openFile(Path folder, SharedTableFile.Format format) throws IOException {
        SharedTableFile.Origin origin = SharedTableFile.prepare(folder, format);
        Path path = folder.resolve(format.fileName());
        FileChannel channel = FileChannel.open(path, StandardOpenOption.READ, StandardOpenOption.WRITE);
        return new OpenFile(channel, FileIdentity.of(path), origin);
    }

    /** How the file was found when it was opened. */
    SharedTableFile.Origin origin() {
        return file.origin();
    }

    /**
     * Opens the file again if the one in use is no longer under its name or is damaged, as other processes do not see
     * it then. Blocks; for any thread but the I/O thread.
     *
     * @param inUse the result of {@link #file}, which was called on the I/O thread
     * @return the file to be used from now on, which may be the same
     */
    OpenFile reopenIfReplaced(OpenFile inUse) throws IOException {
        Path path = folder.resolve(format.fileName());
        boolean isCurrent =
                inUse.identity().isCurrent() && inUse.channel().isOpen() && SharedTableFile.isUsable(path, format);
        return isCurrent ? inUse : openFile(folder, format);
    }

    /** Returns the file in use. */
    OpenFile file() {
        return file;
    }

    /** Replaces the file in use. */
    void use(OpenFile newFile) throws IOException {
        if (!newFile.equals(file)) {
            file.channel().close();
            file = newFile;
        }
    }

    @Override
    public boolean read(long[] copy, int index, int length) {
        try {
            for (int at = index; at < index + length; at += BUFFER_LONGS) {
                int longs = Math.min(BUFFER_LONGS, index + length - at);
                if (!fill(longs, format.byteOffset(at))) {
                    return false;
                }
                buffer.asLongBuffer().get(copy, at, longs);
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Reads into the buffer; returns false at the end of the file. */
    private boolean fill(int longs, long offset) throws IOException {
        buffer.clear().limit(longs * Long.BYTES);
        while (buffer.hasRemaining()) {
            if (file.channel().read(buffer, offset + buffer.position()) < 0) {
                return false;
            }
        }
        buffer.flip();
        return true;
    }

    @Override
    public boolean write(long[] copy, int index, int length) {
        try {
            for (int at = index; at < index + length; at += BUFFER_LONGS) {
                int longs = Math.min(BUFFER_LONGS, index + length - at);
                buffer.clear().limit(longs * Long.BYTES);
                buffer.asLongBuffer().put(copy, at, longs);
                long offset = format.byteOffset(at);
                while (buffer.hasRemaining()) {
                    file.channel().write(buffer, offset + buffer.position());
                }
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
