import type { HeapElement, IndexedHeap } from './types';

const NOT_IN_HEAP = -1;

/**
 * Creates a binary heap whose elements record their own index in `heapPositions[heapId]`; every
 * change is O(log n).
 */
export default function createIndexedHeap<Element extends HeapElement>(
  heapId: number,
  compare: (left: Element, right: Element) => number,
): IndexedHeap<Element> {
  const heap: Element[] = [];

  function place(element: Element, index: number): void {
    heap[index] = element;
    element.heapPositions[heapId] = index;
  }

  function siftUp(start: number): void {
    const element = heap[start]!;
    let index = start;
    while (index > 0) {
      const parentIndex = Math.floor((index - 1) / 2);
      const parent = heap[parentIndex]!;
      if (compare(element, parent) >= 0) {
        break;
      }
      place(parent, index);
      index = parentIndex;
    }
    place(element, index);
  }

  function getSmallerChild(index: number): number {
    const left = 2 * index + 1;
    const right = left + 1;
    if (right < heap.length && compare(heap[right]!, heap[left]!) < 0) {
      return right;
    }
    return left;
  }

  function siftDown(start: number): void {
    const element = heap[start]!;
    let index = start;
    let child = getSmallerChild(index);
    while (child < heap.length && compare(heap[child]!, element) < 0) {
      place(heap[child]!, index);
      index = child;
      child = getSmallerChild(index);
    }
    place(element, index);
  }

  function removeAt(index: number): void {
    const removed = heap[index]!;
    const last = heap.pop()!;
    removed.heapPositions[heapId] = NOT_IN_HEAP;
    if (last !== removed) {
      place(last, index);
      siftUp(index);
      siftDown(last.heapPositions[heapId]!);
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
    peek: () => heap[0],
    pop() {
      const first = heap[0];
      if (first !== undefined) {
        removeAt(0);
      }
      return first;
    },
    remove(element) {
      const index = element.heapPositions[heapId] ?? NOT_IN_HEAP;
      if (index !== NOT_IN_HEAP && heap[index] === element) {
        removeAt(index);
      }
    },
    update(element) {
      const index = element.heapPositions[heapId] ?? NOT_IN_HEAP;
      if (index !== NOT_IN_HEAP) {
        siftUp(index);
        siftDown(element.heapPositions[heapId]!);
      }
    },
  };
}
