package frostreel.broker;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SlotTableTest {
    @Test
    void staleHandleFindsNothing() {
        SlotTable<String> table = new SlotTable<>(2);
        long a = table.add("a");
        table.add("b");
        assertThat(table.add("c")).isEqualTo(SlotTable.NONE);
        assertThat(table.remove(a)).isEqualTo("a");
        long again = table.add("d");
        assertThat(table.get(a)).isNull();
        assertThat(table.remove(a)).isNull();
        assertThat(table.get(again)).isEqualTo("d");
        assertThat(table.get(SlotTable.NONE)).isNull();
    }
}
