package beechseam.config;

import java.util.List;

/**
 * Declaration of a key of a {@link ConfigNode}, from which its schema is generated.
 *
 * @param kind type of the value
 * @param required whether the key must be present
 * @param defaultValue default, or null if there is none
 * @param minimum lower bound, inclusive; used for numbers only
 * @param maximum upper bound, inclusive; used for numbers only
 * @param choices permitted texts of a choice, or the wildcard in place of a list; else null
 * @param child the object, or the last element read of a list of objects; null for other kinds
 */
record KeySchema(
        Kind kind,
        boolean required,
        Object defaultValue,
        double minimum,
        double maximum,
        List<String> choices,
        ConfigNode child) {
    /** Type of a key's value. */
    enum Kind {
        TEXT,
        INTEGER,
        NUMBER,
        BOOLEAN,
        CHOICE,
        DIRECTORY,
        ADDRESS,
        OBJECT,
        NUMBER_LIST,
        OBJECT_LIST
    }
}
