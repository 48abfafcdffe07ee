package gatelock.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import gatelock.net.JsonObject;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads a list of endpoints from the pieces in which it comes and hands on entry by entry, so that no more than one
 * is held. It tells the same as {@link JsonObject#read} of the whole text would, and is stricter where that would cost
 * memory or a guess: bytes that are no UTF-8, entries of more than {@link #MOST_ENTRY} bytes,
 * values nested deeper than {@link #DEEPEST} and more fields than {@link #MOST_FIELDS} beside the entries are refused.
 */
final class EndpointListReader {
    /** An entry with all its labels is a tenth of this at most; longer is no entry. */
    static final int MOST_ENTRY = 16 * 1024;
    /** Entries that are held while it is not told yet whether they are a whole list. */
    static final int MOST_HELD = 1_024;

    private static final int DEEPEST = 16;
    /** Beside the entries. */
    private static final int MOST_FIELDS = 100;
    // Names that are made up anew in each entry must not stay for good.
    private static final JsonFactory JSON = JsonFactory.builder()
            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(DEEPEST)
                    .maxStringLength(MOST_ENTRY)
                    .maxNameLength(MOST_ENTRY)
                    .maxNumberLength(100)
                    .build())
            .build();

    /** Whoever takes the entries; nothing of them may count before the list has come to its good end. */
    interface Taker {

        /** Once, before the first entry: whether the list is whole or a change. */
        void begins(boolean whole);

        void entry(JsonObject entry) throws IOException;
    }

    /** What stands beside the entries. */
    record Frame(boolean whole, long index) {}

    private final Taker taker;
    private final boolean wholeAsked;
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    /** The fields beside the entries that matter; all others are passed over. */
    private final Map<String, Object> frame = new LinkedHashMap<>();
    /** Objects and lists of an entry that are open, the entry itself first. */
    private final Deque<Object> open = new ArrayDeque<>();

    private final Deque<String> names = new ArrayDeque<>();
    private List<JsonObject> held = new ArrayList<>();
    private final Set<String> fields = new HashSet<>();
    private boolean begun;
    private Boolean whole;
    private boolean mistaken;
    private boolean listed;
    private boolean inList;
    private String field;
    private int passingOver;
    private boolean entered;
    private boolean over;
    private long fedBytes;
    private long entryFromBytes;

    /**
     * @param wholeAsked whether a whole list was asked for: so it is taken where more than {@link #MOST_HELD}
     *     entries come before it is told what they are
     */
    EndpointListReader(boolean wholeAsked, Taker taker) {
        this.wholeAsked = wholeAsked;
        this.taker = taker;
        try {
            parser = JSON.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException("a parser that reads nothing yet can't fail", e);
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** Takes in the next piece. */
    void read(byte[] some) throws IOException {
        feeder.feedInput(some, 0, some.length);
        fedBytes += some.length;
        for (JsonToken t = parser.nextToken(); t != JsonToken.NOT_AVAILABLE; t = parser.nextToken()) {
            token(t);
        }
        if (!open.isEmpty() && fedBytes - entryFromBytes > MOST_ENTRY) {
            throw new IOException("expected an entry of up to " + MOST_ENTRY + " bytes");
        }
    }

    /** Whether it came as something else than was asked for, and told so too late. */
    boolean mistaken() {
        return mistaken;
    }

    /** All has come: what stood beside the entries; an {@link IOException} where it was no whole list. */
    Frame end() throws IOException {
        feeder.endOfInput();
        if (parser.nextToken() != null || !over) {
            throw new IOException("expected one JSON object");
        }
        JsonObject beside = new JsonObject(frame);
        if (!listed) {
            throw new IOException("expected endpoints");
        }
        boolean told = beside.yes("snapshot");
        long index = beside.whole("index");
        if (!begun) {
            begin(told);
        }
        if (whole != told) {
            mistaken = true;
            throw new IOException("expected snapshot before endpoints where there are more than " + MOST_HELD);
        }
        return new Frame(told, index);
    }

    private void token(JsonToken t) throws IOException {
        if (over) {
            throw new IOException("expected one JSON object");
        }
        if (passingOver > 0) {
            passingOver += t.isStructStart() ? 1 : t.isStructEnd() ? -1 : 0;
        } else if (!open.isEmpty()) {
            inEntry(t);
        } else if (inList) {
            inList(t);
        } else {
            beside(t);
        }
    }

    /** Outside of the list. */
    private void beside(JsonToken t) throws IOException {
        if (!entered) {
            if (t != JsonToken.START_OBJECT) {
                throw new IOException("expected one JSON object");
            }
            entered = true;
        } else if (t == JsonToken.FIELD_NAME) {
            field = parser.currentName();
            if (!fields.add(field) || fields.size() > MOST_FIELDS) {
                throw new IOException("expected few fields, each once, found " + field);
            }
        } else if (t == JsonToken.END_OBJECT) {
            over = true;
        } else if (field.equals("endpoints")) {
            if (t != JsonToken.START_ARRAY) {
                throw new IOException("expected a list under endpoints");
            }
            inList = true;
            listed = true;
            if (frame.containsKey("snapshot")) {
                begin(new JsonObject(frame).yes("snapshot"));
            }
        } else {
            boolean matters = field.equals("index") || field.equals("snapshot");
            if (t.isStructStart()) {
                passingOver = 1;
            }
            if (matters) {
                frame.put(field, t.isStructStart() ? Map.of() : scalar(t));
            }
        }
    }

    private void inList(JsonToken t) throws IOException {
        if (t == JsonToken.END_ARRAY) {
            inList = false;
        } else if (t == JsonToken.START_OBJECT) {
            entryFromBytes = parser.currentTokenLocation().getByteOffset();
            open.push(new LinkedHashMap<String, Object>());
        } else {
            throw new IOException("expected an object under endpoints");
        }
    }

    private void inEntry(JsonToken t) throws IOException {
        if (t == JsonToken.FIELD_NAME) {
            names.push(parser.currentName());
        } else if (t == JsonToken.START_OBJECT) {
            open.push(new LinkedHashMap<String, Object>());
        } else if (t == JsonToken.START_ARRAY) {
            open.push(new ArrayList<>());
        } else if (t.isStructEnd()) {
            Object done = open.pop();
            if (open.isEmpty()) {
                entry(done);
            } else {
                put(done);
            }
        } else {
            put(scalar(t));
        }
    }

    @SuppressWarnings("unchecked")
    private void put(Object value) throws IOException {
        if (open.peek() instanceof List<?> list) {
            ((List<Object>) list).add(value);
        } else {
            Map<String, Object> object = (Map<String, Object>) open.peek();
            String name = names.pop();
            if (object.containsKey(name)) {
                throw new IOException("expected each field once, found twice " + name);
            }
            object.put(name, value);
        }
    }

    @SuppressWarnings("unchecked")
    private void entry(Object done) throws IOException {
        if (parser.currentLocation().getByteOffset() - entryFromBytes > MOST_ENTRY) {
            throw new IOException("expected an entry of up to " + MOST_ENTRY + " bytes");
        }
        JsonObject entry = new JsonObject((Map<String, Object>) done);
        if (!begun && held.size() == MOST_HELD) {
            begin(wholeAsked);
        }
        if (begun) {
            taker.entry(entry);
        } else {
            held.add(entry);
        }
    }

    private void begin(boolean whole) throws IOException {
        begun = true;
        this.whole = whole;
        taker.begins(whole);
        List<JsonObject> first = held;
        held = List.of();
        for (JsonObject entry : first) {
            taker.entry(entry);
        }
    }

    private Object scalar(JsonToken t) throws IOException {
        return switch (t) {
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            default -> null;
        };
    }
}
