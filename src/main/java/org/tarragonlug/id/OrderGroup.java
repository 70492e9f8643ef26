package org.tarragonlug.id;

/**
 * Number of a group of backend servers that receive their orders from one instance.
 *
 * @param number zero or more
 */
public record OrderGroup(int number) implements Comparable<OrderGroup> {
    public OrderGroup {
        if (number < 0) {
            throw new IllegalArgumentException("OrderGroup must not be negative: " + number);
        }
    }

    @Override
    public int compareTo(OrderGroup other) {
        return Integer.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Integer.toString(number);
    }
}
