package frostreel.util;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Stale handles, whose slots were freed or reused. */
class SlotTableTest {
    @Test
    void findsNothingByStaleHandle() {
        SlotTable<String> table = new SlotTable<>(2);
        long stale = table.add("a");
        table.add("b");
        assertThat(table.add("c")).isEqualTo(SlotTable.NONE);
        assertThat(table.remove(stale)).isEqualTo("a");
        long current = table.add("d");
        assertThat(table.get(stale)).isNull();
        assertThat(table.remove(stale)).isNull();
        assertThat(table.get(current)).isEqualTo("d");
        assertThat(table.get(SlotTable.NONE)).isNull();
    }
}
