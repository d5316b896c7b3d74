#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace crocusslip::core {

/// A fixed number of threads that run submitted tasks from a bounded queue.
/// Stop() runs what is queued, then joins.
class WorkerPool
{
public:
  using Task = std::function<void()>;

  WorkerPool(std::size_t aThreads, std::size_t aQueueLimit);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// False when the queue is full or the pool has stopped.
  bool Submit(Task aTask);
  void Stop();
  std::size_t Queued() const;

private:
  void Run();

  const std::size_t queueLimit_;
  /// Held only around the queue; never while a task runs.
  mutable std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<Task> tasks_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

} // namespace crocusslip::core
