package gatelock.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import gatelock.net.JsonObject;
import gatelock.net.MalformedMessageException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads an endpoint list from the pieces in which it arrives, and hands on entry by entry, so that no more than one is
 * buffered. The result is that of {@link JsonObject#parse} on the whole text. The reader is stricter where equality
 * would cost memory or a guess: it rejects bytes that are not UTF-8, entries of more than {@link #MAX_ENTRY_BYTES},
 * values nested deeper than {@link #MAX_DEPTH} and more than {@link #MAX_FIELDS} fields beside the entries.
 */
final class EndpointListReader {
    /** An entry with all its labels has a tenth of this at most. */
    static final int MAX_ENTRY_BYTES = 16 * 1024;
    /** How many entries are buffered while the list has not said yet whether it is full. */
    static final int MAX_PENDING_ENTRIES = 1_024;

    private static final int MAX_DEPTH = 16;
    private static final int MAX_FIELDS = 100;
    private static final int MAX_NUMBER_LENGTH = 100;

    private static final String ENTRIES_FIELD = "endpoints";
    private static final String FULL_FIELD = "snapshot";
    private static final String INDEX_FIELD = "index";

    // Field names are not interned: names that are made up anew in each entry would stay in memory for good.
    private static final JsonFactory JSON = JsonFactory.builder()
            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_DEPTH)
                    .maxStringLength(MAX_ENTRY_BYTES)
                    .maxNameLength(MAX_ENTRY_BYTES)
                    .maxNumberLength(MAX_NUMBER_LENGTH)
                    .build())
            .build();

    /** Receives the entries; nothing of them may take effect before {@link #end} has returned. */
    interface EntryConsumer {

        /** Called once, before the first entry: whether the list is full or has the changes only. */
        void onBegin(boolean full);

        /**
         * Called for each entry, in the order of the list.
         *
         * @throws IOException where the entry is malformed, and with it the list
         */
        void onEntry(JsonObject entry) throws IOException;
    }

    /** The fields of a list beside its entries. */
    record Header(boolean full, long index) {}

    /** The list said only behind many entries that it is not what was asked for, a full list or changes. */
    static final class UnannouncedFormException extends MalformedMessageException {
        private static final long serialVersionUID = 1L;

        UnannouncedFormException() {
            super("expected " + FULL_FIELD + " before " + ENTRIES_FIELD + " where there are more than "
                    + MAX_PENDING_ENTRIES);
        }
    }

    /** Where in the text the next token stands. */
    private enum Position {
        BEFORE_OBJECT,
        FIELDS,
        SKIPPED_VALUE,
        ENTRIES,
        ENTRY,
        AFTER_OBJECT
    }

    private final EntryConsumer consumer;
    private final boolean fullRequested;
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private Position position = Position.BEFORE_OBJECT;
    /** The names of all fields beside the entries, up to here. */
    private final Set<String> fieldNames = new HashSet<>();
    /** The values of those fields that matter; all others are skipped. */
    private final Map<String, Object> headerFields = new LinkedHashMap<>();

    private String fieldName;
    private int skippedDepth;
    private JsonTreeBuilder entry;
    private long entryOffset;
    private long fedBytes;
    private boolean entriesSeen;
    /** Entries that arrived before the list said whether it is full. */
    private List<JsonObject> pending = new ArrayList<>();

    private boolean begun;
    private boolean full;

    /**
     * Creates the reader of one list.
     *
     * @param fullRequested whether a full list was asked for, and so is assumed where more than
     *     {@link #MAX_PENDING_ENTRIES} entries arrive before the list says what it is
     */
    EndpointListReader(boolean fullRequested, EntryConsumer consumer) {
        this.fullRequested = fullRequested;
        this.consumer = consumer;
        try {
            parser = JSON.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException("a parser that has not read anything can't fail", e);
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /**
     * Reads the next piece of the text.
     *
     * @throws IOException where the list is malformed; the reader must not be used any more
     */
    void read(byte[] piece) throws IOException {
        feeder.feedInput(piece, 0, piece.length);
        fedBytes += piece.length;
        JsonToken token = parser.nextToken();
        while (token != JsonToken.NOT_AVAILABLE) {
            onToken(token);
            token = parser.nextToken();
        }
        if (position == Position.ENTRY) {
            checkEntrySize(fedBytes);
        }
    }

    /**
     * Ends the list: all of its text has arrived.
     *
     * @throws UnannouncedFormException where the list can be read when a full list is asked for
     * @throws IOException where the text is no well-formed list
     */
    Header end() throws IOException {
        feeder.endOfInput();
        if (parser.nextToken() != null || position != Position.AFTER_OBJECT) {
            throw new MalformedMessageException("expected one JSON object");
        }
        if (!entriesSeen) {
            throw new MalformedMessageException("expected endpoints");
        }
        JsonObject header = new JsonObject(headerFields);
        boolean declaredFull = header.isTrue(FULL_FIELD);
        long index = header.nonNegativeLong(INDEX_FIELD);
        if (!begun) {
            begin(declaredFull);
        }
        if (full != declaredFull) {
            throw new UnannouncedFormException();
        }
        return new Header(declaredFull, index);
    }

    private void onToken(JsonToken token) throws IOException {
        switch (position) {
            case BEFORE_OBJECT -> onObjectStart(token);
            case FIELDS -> onField(token);
            case SKIPPED_VALUE -> onSkipped(token);
            case ENTRIES -> onEntries(token);
            case ENTRY -> onEntryToken(token);
            case AFTER_OBJECT -> throw new MalformedMessageException("expected one JSON object");
        }
    }

    private void onObjectStart(JsonToken token) throws IOException {
        if (token != JsonToken.START_OBJECT) {
            throw new MalformedMessageException("expected one JSON object");
        }
        position = Position.FIELDS;
    }

    private void onField(JsonToken token) throws IOException {
        if (token == JsonToken.FIELD_NAME) {
            fieldName = parser.currentName();
            if (!fieldNames.add(fieldName) || fieldNames.size() > MAX_FIELDS) {
                throw new MalformedMessageException("expected few fields, each once, found " + fieldName);
            }
        } else if (token == JsonToken.END_OBJECT) {
            position = Position.AFTER_OBJECT;
        } else if (fieldName.equals(ENTRIES_FIELD)) {
            beginEntries(token);
        } else {
            onHeaderValue(token);
        }
    }

    private void beginEntries(JsonToken token) throws IOException {
        if (token != JsonToken.START_ARRAY) {
            throw new MalformedMessageException("expected a list under endpoints");
        }
        position = Position.ENTRIES;
        entriesSeen = true;
        if (headerFields.containsKey(FULL_FIELD)) {
            begin(new JsonObject(headerFields).isTrue(FULL_FIELD));
        }
    }

    private void onHeaderValue(JsonToken token) throws IOException {
        if (fieldName.equals(INDEX_FIELD) || fieldName.equals(FULL_FIELD)) {
            // An object or an array is of the wrong type for both, whatever is in it.
            headerFields.put(fieldName, token.isStructStart() ? Map.of() : JsonTreeBuilder.scalar(parser, token));
        }
        if (token.isStructStart()) {
            skippedDepth = 1;
            position = Position.SKIPPED_VALUE;
        }
    }

    private void onSkipped(JsonToken token) {
        if (token.isStructStart()) {
            skippedDepth++;
        } else if (token.isStructEnd()) {
            skippedDepth--;
        }
        if (skippedDepth == 0) {
            position = Position.FIELDS;
        }
    }

    private void onEntries(JsonToken token) throws IOException {
        if (token == JsonToken.END_ARRAY) {
            position = Position.FIELDS;
        } else if (token == JsonToken.START_OBJECT) {
            position = Position.ENTRY;
            entryOffset = parser.currentTokenLocation().getByteOffset();
            entry = new JsonTreeBuilder(parser);
        } else {
            throw new MalformedMessageException("expected an object under endpoints");
        }
    }

    private void onEntryToken(JsonToken token) throws IOException {
        if (entry.add(token)) {
            checkEntrySize(parser.currentLocation().getByteOffset());
            position = Position.ENTRIES;
            onEntry(new JsonObject(entry.root()));
        }
    }

    private void checkEntrySize(long endOffset) throws IOException {
        if (endOffset - entryOffset > MAX_ENTRY_BYTES) {
            throw new MalformedMessageException("expected an entry of up to " + MAX_ENTRY_BYTES + " bytes");
        }
    }

    private void onEntry(JsonObject completed) throws IOException {
        if (!begun && pending.size() == MAX_PENDING_ENTRIES) {
            begin(fullRequested);
        }
        if (begun) {
            consumer.onEntry(completed);
        } else {
            pending.add(completed);
        }
    }

    private void begin(boolean asFull) throws IOException {
        begun = true;
        full = asFull;
        consumer.onBegin(asFull);
        List<JsonObject> buffered = pending;
        pending = List.of();
        for (JsonObject earlier : buffered) {
            consumer.onEntry(earlier);
        }
    }
}
