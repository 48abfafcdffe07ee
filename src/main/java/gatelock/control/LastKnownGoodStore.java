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
import java.util.List;

/**
 * The last good version on disk, and the one before beside it. A file is one line with the stamp, the text's
 * length
 * and its hash, then the text: what is torn, cut or changed is told apart and passed over. Written beside,
 * forced to
 * disk and moved into place. Never used on the I/O thread.
 */
public final class LastKnownGoodStore {
    private static final System.Logger LOG = System.getLogger("gatelock.control");
    private static final String MARK = "gatelock-plan-1";

    private final Path directory;
    private final long mostBytes;

    /** @param mostBytes a larger file is none of ours */
    public LastKnownGoodStore(Path directory, long mostBytes) {
        this.directory = directory;
        this.mostBytes = mostBytes;
    }

    /** One version as it was kept. */
    public record Kept(ConfigVersion stamp, byte[] text) {}

    private Path latest() {
        return directory.resolve("last-good.plan");
    }

    private Path before() {
        return directory.resolve("last-good.plan.1");
    }

    /** Keeps a version; gives null, or why it could not. */
    public String keep(ConfigVersion stamp, byte[] text) {
        try {
            Files.createDirectories(directory);
            Path beside = directory.resolve("last-good.plan.new");
            String head =
                    MARK + " " + stamp.epoch().born() + " " + stamp.epoch().id() + " " + stamp.number()
                            + " "
                            + text.length + " " + stamp.hash() + "\n";
            try (FileChannel file = FileChannel.open(
                    beside,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.WRITE,
                    StandardOpenOption.TRUNCATE_EXISTING)) {
                ByteBuffer all = ByteBuffer.allocate(head.length() + text.length)
                        .put(head.getBytes(StandardCharsets.US_ASCII))
                        .put(text)
                        .flip();
                while (all.hasRemaining()) {
                    file.write(all);
                }
                file.force(true);
            }
            if (Files.exists(latest())) {
                move(latest(), before());
            }
            move(beside, latest());
            try (FileChannel names = FileChannel.open(directory, StandardOpenOption.READ)) {
                names.force(true);
            }
            return null;
        } catch (IOException | RuntimeException e) {
            return e.toString();
        }
    }

    private static void move(Path from, Path to) throws IOException {
        try {
            Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (AtomicMoveNotSupportedException e) {
            Files.move(from, to, StandardCopyOption.REPLACE_EXISTING);
        }
    }

    /** What can be believed of what is on disk, the latest first. */
    public List<Kept> read() {
        List<Kept> found = new ArrayList<>();
        for (Path file : List.of(latest(), before())) {
            try {
                found.add(read(file));
            } catch (NoSuchFileException e) {
                LOG.log(Level.DEBUG, "no {0}", file);
            } catch (IOException | RuntimeException e) {
                LOG.log(Level.WARNING, file + " is passed over: " + e.getMessage());
            }
        }
        return found;
    }

    private Kept read(Path file) throws IOException {
        if (Files.size(file) > mostBytes + 1024) {
            throw new IOException("it is larger than any version may be");
        }
        byte[] all = Files.readAllBytes(file);
        int end = 0;
        while (end < all.length && all[end] != '\n') {
            end++;
        }
        String[] head = new String(all, 0, end, StandardCharsets.US_ASCII).split(" ");
        if (head.length != 6 || !head[0].equals(MARK)) {
            throw new IOException("it does not begin as one of ours");
        }
        byte[] text = java.util.Arrays.copyOfRange(all, Math.min(all.length, end + 1), all.length);
        if (text.length != Integer.parseInt(head[4])) {
            throw new IOException("it is cut or torn: " + text.length + " bytes of " + head[4]);
        }
        ConfigVersion stamp = new ConfigVersion(
                new ConfigVersion.Epoch(Long.parseLong(head[1]), head[2]),
                Long.parseLong(head[3]),
                ConfigVersion.hash(text));
        if (!stamp.hash().equals(head[5])) {
            throw new IOException("its text is not the one that was kept: the hash is another");
        }
        return new Kept(stamp, text);
    }
}
