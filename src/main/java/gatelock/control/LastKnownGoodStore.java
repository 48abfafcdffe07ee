package gatelock.control;

import gatelock.config.ConfigVersion;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.AtomicMoveNotSupportedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Stores the last known good version of the configuration and its predecessor on disk, each in its own file.
 *
 * <p>A file is one header line followed by the version's text. The header has six fields, separated by one space: the
 * format's name, the start time of the epoch, the epoch's identifier, the version's number, the text's length in bytes
 * and the text's hash. Length and hash reveal a file that is truncated, partially written or modified; such a file is
 * skipped. A new file is written under a temporary name, forced to disk and moved into place.
 *
 * <p>All methods block, so they must never be called on the I/O thread.
 */
public final class LastKnownGoodStore {
    private static final System.Logger LOG = System.getLogger("gatelock.control");
    private static final String FORMAT = "gatelock-plan-1";
    private static final int HEADER_FIELDS = 6;
    /** An upper bound on the length of a header line. */
    private static final int MAX_HEADER_BYTES = 1024;

    private final Path directory;
    private final long maxTextBytes;

    /**
     * Creates a store.
     *
     * @param directory holds the files; created on demand
     * @param maxTextBytes maximum length of a version's text; longer files are skipped without being read
     */
    public LastKnownGoodStore(Path directory, long maxTextBytes) {
        this.directory = directory;
        this.maxTextBytes = maxTextBytes;
    }

    /** One version that was read from disk. */
    public static final class StoredVersion {
        private final ConfigVersion version;
        private final byte[] text;

        private StoredVersion(ConfigVersion version, byte[] text) {
            this.version = version;
            this.text = text;
        }

        /** Returns the identity of the version. */
        ConfigVersion version() {
            return version;
        }

        /** Returns the version's text as the control service sent it; not a copy. */
        byte[] text() {
            return text;
        }
    }

    private Path latestFile() {
        return directory.resolve("last-good.plan");
    }

    private Path previousFile() {
        return directory.resolve("last-good.plan.1");
    }

    private Path temporaryFile() {
        return directory.resolve("last-good.plan.new");
    }

    /**
     * Saves a version as the latest one; the version saved before it becomes the previous one.
     *
     * @return why the version could not be saved; empty if it was saved
     */
    Optional<String> save(ConfigVersion version, byte[] text) {
        try {
            Files.createDirectories(directory);
            writeAndForce(temporaryFile(), header(version, text.length), text);
            if (Files.exists(latestFile())) {
                replace(latestFile(), previousFile());
            }
            replace(temporaryFile(), latestFile());
            forceDirectory();
            return Optional.empty();
        } catch (IOException | RuntimeException e) {
            return Optional.of(e.toString());
        }
    }

    private static byte[] header(ConfigVersion version, int textBytes) {
        String header = String.join(
                " ",
                FORMAT,
                String.valueOf(version.epoch().startedAtMs()),
                version.epoch().id(),
                String.valueOf(version.number()),
                String.valueOf(textBytes),
                version.hash());
        return (header + "\n").getBytes(StandardCharsets.US_ASCII);
    }

    private static void writeAndForce(Path path, byte[] header, byte[] text) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(header.length + text.length)
                .put(header)
                .put(text)
                .flip();
        try (FileChannel file = FileChannel.open(
                path, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            while (bytes.hasRemaining()) {
                file.write(bytes);
            }
            file.force(true);
        }
    }

    private static void replace(Path from, Path to) throws IOException {
        try {
            Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (AtomicMoveNotSupportedException e) {
            Files.move(from, to, StandardCopyOption.REPLACE_EXISTING);
        }
    }

    /** Forces the directory to disk, which makes the file moves durable. */
    private void forceDirectory() throws IOException {
        try (FileChannel directoryChannel = FileChannel.open(directory, StandardOpenOption.READ)) {
            directoryChannel.force(true);
        }
    }

    /** Reads the intact versions on disk, the latest first; damaged files are logged and skipped. */
    public List<StoredVersion> readAll() {
        List<StoredVersion> found = new ArrayList<>();
        for (Path file : List.of(latestFile(), previousFile())) {
            try {
                found.add(read(file));
            } catch (NoSuchFileException e) {
                LOG.log(Level.DEBUG, "{0} does not exist", file);
            } catch (IOException | RuntimeException e) {
                LOG.log(Level.WARNING, file + " is skipped: " + e.getMessage());
            }
        }
        return found;
    }

    private StoredVersion read(Path file) throws IOException {
        if (Files.size(file) > maxTextBytes + MAX_HEADER_BYTES) {
            throw new IOException("it exceeds the maximum size of a version");
        }
        byte[] bytes = Files.readAllBytes(file);
        int headerEnd = 0;
        while (headerEnd < bytes.length && bytes[headerEnd] != '\n') {
            headerEnd++;
        }
        String[] header = new String(bytes, 0, headerEnd, StandardCharsets.US_ASCII).split(" ", 0);
        if (header.length != HEADER_FIELDS || !header[0].equals(FORMAT)) {
            throw new IOException("it does not begin with a valid header");
        }
        byte[] text = Arrays.copyOfRange(bytes, Math.min(bytes.length, headerEnd + 1), bytes.length);
        if (text.length != Integer.parseInt(header[4])) {
            throw new IOException("it is truncated or damaged: " + text.length + " bytes of " + header[4]);
        }
        ConfigVersion.Epoch epoch = new ConfigVersion.Epoch(Long.parseLong(header[1]), header[2]);
        ConfigVersion version = new ConfigVersion(epoch, Long.parseLong(header[3]), ConfigVersion.hash(text));
        if (!version.hash().equals(header[5])) {
            throw new IOException("its text does not match the hash in its header");
        }
        return new StoredVersion(version, text);
    }
}
