package org.tanagergap.document;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.tanagergap.api.finding.InvalidInputException;

class KeyHashingTests {

    @Test
    void acceptsOnlyTheTextOfTheSameKey() {
        NewKey one = KeyHashing.create("one");
        NewKey other = KeyHashing.create("one");
        assertThat(KeyHashing.matches(one.definition(), one.text())).isTrue();
        assertThat(KeyHashing.matches(one.definition(), other.text())).isFalse();
        assertThat(KeyHashing.matches(one.definition(), "two" + one.text().substring(3))).isFalse();
        assertThat(KeyHashing.matches(one.definition(), "one")).isFalse();
    }

    /** Guards against ids with a dot, which would move the boundary between id and secret. */
    @Test
    void refusesAnIdWithADot() {
        assertThrows(InvalidInputException.class, () -> KeyHashing.create("a.b"));
    }
}
