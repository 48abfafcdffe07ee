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
 * Parses an endpoint list incrementally and passes on its entries one by one, so that no more than one entry is
 * buffered. The result equals that of {@link JsonObject#parse} on the whole text, except where that would cost memory
 * or be ambiguous. In those cases this reader is stricter: it rejects bytes that are not UTF-8, entries of more than
 * {@link #MAX_ENTRY_BYTES}, values nested deeper than {@link #MAX_DEPTH} and more than {@link #MAX_FIELDS} fields
 * besides the entries.
 */
final class EndpointListReader {
    /** The maximum length of an entry. An entry with all its labels has at most a tenth of this. */
    static final int MAX_ENTRY_BYTES = 16 * 1024;
    /** The number of entries that are buffered while the list has not declared yet whether it is full. */
    static final int MAX_PENDING_ENTRIES = 1_024;

    private static final int MAX_DEPTH = 16;
    private static final int MAX_FIELDS = 100;
    private static final int MAX_NUMBER_LENGTH = 100;

    private static final String ENTRIES_FIELD = "endpoints";
    private static final String FULL_FIELD = "snapshot";
    private static final String INDEX_FIELD = "index";

    // Field names are not interned, because names that differ in each entry would stay in memory permanently.
    private static final JsonFactory JSON = JsonFactory.builder()
            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_DEPTH)
                    .maxStringLength(MAX_ENTRY_BYTES)
                    .maxNameLength(MAX_ENTRY_BYTES)
                    .maxNumberLength(MAX_NUMBER_LENGTH)
                    .build())
            .build();

    /** Receives the entries. They must not take effect before {@link #end} has returned. */
    interface EntryConsumer {

        /**
         * Called once, before the first entry.
         *
         * @param full whether the list is a full list, rather than the changes since an index
         */
        void onBegin(boolean full);

        /**
         * Called for each entry, in the order of the list.
         *
         * @throws IOException if the entry is malformed, which makes the whole list malformed
         */
        void onEntry(JsonObject entry) throws IOException;
    }

    /** The fields of a list other than its entries. */
    record ListHeader(boolean full, long index) {}

    /**
     * Thrown when a list declares only after many entries that its type, a full list or changes, is not the requested
     * one.
     */
    static final class UnexpectedListTypeException extends MalformedMessageException {
        private static final long serialVersionUID = 1L;

        UnexpectedListTypeException() {
            super("field " + FULL_FIELD + " must precede " + ENTRIES_FIELD + " in a list of more entries than "
                    + MAX_PENDING_ENTRIES);
        }
    }

    /** The position of the next token in the structure of the list. */
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
    /** The names of all fields seen so far, other than those of the entries. */
    private final Set<String> seenFieldNames = new HashSet<>();
    /** The values of the fields that are used; all other values are skipped. */
    private final Map<String, Object> headerFields = new LinkedHashMap<>();

    private String fieldName;
    private int skippedDepth;
    private JsonTreeBuilder entry;
    private long entryOffset;
    private long receivedBytes;
    private boolean entriesSeen;
    /** The entries that arrived before the list declared whether it is full. */
    private List<JsonObject> pendingEntries = new ArrayList<>();

    private boolean begun;
    private boolean full;

    /**
     * Creates the reader of one list.
     *
     * @param fullRequested whether a full list was requested; this type is assumed if more than
     *     {@link #MAX_PENDING_ENTRIES} entries arrive before the list declares its type
     */
    EndpointListReader(boolean fullRequested, EntryConsumer consumer) {
        this.fullRequested = fullRequested;
        this.consumer = consumer;
        try {
            parser = JSON.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException("cannot create a JSON parser", e);
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /**
     * Parses the next part of the text.
     *
     * @throws IOException if the list is malformed; the reader must not be used afterwards
     */
    void read(byte[] data) throws IOException {
        feeder.feedInput(data, 0, data.length);
        receivedBytes += data.length;
        JsonToken token = parser.nextToken();
        while (token != JsonToken.NOT_AVAILABLE) {
            onToken(token);
            token = parser.nextToken();
        }
        if (position == Position.ENTRY) {
            checkEntrySize(receivedBytes);
        }
    }

    /**
     * Finishes the list after all of its text has been read.
     *
     * @throws UnexpectedListTypeException if the list is valid but not of the requested type, so that requesting a full
     *     list will succeed
     * @throws IOException if the text is not a well-formed list
     */
    ListHeader end() throws IOException {
        feeder.endOfInput();
        if (parser.nextToken() != null || position != Position.AFTER_OBJECT) {
            throw new MalformedMessageException("expected one JSON object");
        }
        if (!entriesSeen) {
            throw new MalformedMessageException("missing field endpoints");
        }
        JsonObject header = new JsonObject(headerFields);
        boolean declaredFull = header.isTrue(FULL_FIELD);
        long index = header.nonNegativeLong(INDEX_FIELD);
        if (!begun) {
            begin(declaredFull);
        }
        if (full != declaredFull) {
            throw new UnexpectedListTypeException();
        }
        return new ListHeader(declaredFull, index);
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
            if (!seenFieldNames.add(fieldName) || seenFieldNames.size() > MAX_FIELDS) {
                throw new MalformedMessageException("duplicate field or too many fields at " + fieldName);
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
            throw new MalformedMessageException("expected an array in field endpoints");
        }
        position = Position.ENTRIES;
        entriesSeen = true;
        if (headerFields.containsKey(FULL_FIELD)) {
            begin(new JsonObject(headerFields).isTrue(FULL_FIELD));
        }
    }

    private void onHeaderValue(JsonToken token) throws IOException {
        if (fieldName.equals(INDEX_FIELD) || fieldName.equals(FULL_FIELD)) {
            // An object or an array is an invalid value for both fields, so its content is skipped.
            headerFields.put(fieldName, token.isStructStart() ? Map.of() : JsonTreeBuilder.scalarValue(parser, token));
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
            throw new MalformedMessageException("expected an object in the array endpoints");
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
            throw new MalformedMessageException("entry longer than " + MAX_ENTRY_BYTES + " bytes");
        }
    }

    private void onEntry(JsonObject completed) throws IOException {
        if (!begun && pendingEntries.size() == MAX_PENDING_ENTRIES) {
            begin(fullRequested);
        }
        if (begun) {
            consumer.onEntry(completed);
        } else {
            pendingEntries.add(completed);
        }
    }

    private void begin(boolean asFullList) throws IOException {
        begun = true;
        full = asFullList;
        consumer.onBegin(asFullList);
        List<JsonObject> earlierEntries = pendingEntries;
        pendingEntries = List.of();
        for (JsonObject earlierEntry : earlierEntries) {
            consumer.onEntry(earlierEntry);
        }
    }
}
