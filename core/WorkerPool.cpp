#include "core/WorkerPool.hpp"

#include <utility>

namespace crocusslip::core {

WorkerPool::WorkerPool(std::size_t aThreads, std::size_t aQueueLimit)
  : queueLimit_(aQueueLimit)
{
  threads_.reserve(aThreads);
  for (std::size_t i = 0; i < aThreads; ++i) {
    threads_.emplace_back([this] { Run(); });
  }
}

WorkerPool::~WorkerPool()
{
  Stop();
}

bool
WorkerPool::Submit(Task aTask)
{
  {
    const std::lock_guard lock(mutex_);
    if (stopping_ || tasks_.size() >= queueLimit_) {
      return false;
    }
    tasks_.push_back(std::move(aTask));
  }
  ready_.notify_one();
  return true;
}

void
WorkerPool::Stop()
{
  std::vector<std::thread> threads;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    threads.swap(threads_);
  }
  ready_.notify_all();
  for (std::thread& thread : threads) {
    thread.join();
  }
}

std::size_t
WorkerPool::Queued() const
{
  const std::lock_guard lock(mutex_);
  return tasks_.size();
}

void
WorkerPool::Run()
{
  while (true) {
    Task task;
    {
      std::unique_lock lock(mutex_);
      ready_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
      if (tasks_.empty()) {
        return;
      }
      task = std::move(tasks_.front());
      tasks_.pop_front();
    }
    task();
  }
}

} // namespace crocusslip::core
