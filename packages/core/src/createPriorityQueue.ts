import type { PriorityQueue } from './types';

/** Creates a binary heap ordered by `compare`; push and pop take O(log n). */
export default function createPriorityQueue<Element>(
  compare: (left: Element, right: Element) => number,
): PriorityQueue<Element> {
  const heap: Element[] = [];

  function swap(left: number, right: number): void {
    const element = heap[left]!;
    heap[left] = heap[right]!;
    heap[right] = element;
  }

  function siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (compare(heap[index]!, heap[parent]!) >= 0) {
        return;
      }
      swap(index, parent);
      index = parent;
    }
  }

  function getSmallestIndex(index: number): number {
    let smallest = index;
    for (let child = 2 * index + 1; child <= 2 * index + 2; child += 1) {
      if (child < heap.length && compare(heap[child]!, heap[smallest]!) < 0) {
        smallest = child;
      }
    }
    return smallest;
  }

  function siftDown(): void {
    let index = 0;
    let smallest = getSmallestIndex(index);
    while (smallest !== index) {
      swap(index, smallest);
      index = smallest;
      smallest = getSmallestIndex(index);
    }
  }

  return {
    get size() {
      return heap.length;
    },
    push(element) {
      heap.push(element);
      siftUp(heap.length - 1);
    },
    pop() {
      const first = heap[0];
      const last = heap.pop();
      if (heap.length > 0 && last !== undefined) {
        heap[0] = last;
        siftDown();
      }
      return first;
    },
    peek: () => heap[0],
  };
}
